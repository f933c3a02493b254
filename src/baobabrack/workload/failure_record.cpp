#include "baobabrack/workload/failure_record.hpp"

#include <algorithm>
#include <utility>

namespace baobabrack::workload {

failure_record::failure_record(std::vector<run_number> runs, std::uint32_t without_run)
    : runs_(std::move(runs)), without_run_(without_run) {
    std::sort(runs_.begin(), runs_.end());
    runs_.erase(std::unique(runs_.begin(), runs_.end()), runs_.end());
}

bool failure_record::add(run_number run, run_number latest) {
    const auto at = std::lower_bound(runs_.begin(), runs_.end(), run);
    if (at != runs_.end() && *at == run) {
        return false;
    }
    runs_.insert(at, run);
    if (run < latest && without_run_ > 0) {
        --without_run_;
    }
    return true;
}

}  // namespace baobabrack::workload
