#ifndef BAOBABRACK_WORKLOAD_PROGRESS_BATCH_HPP
#define BAOBABRACK_WORKLOAD_PROGRESS_BATCH_HPP

#include <cstdint>
#include <map>
#include <vector>

#include "baobabrack/workload/job_progress.hpp"
#include "baobabrack/workload/names.hpp"

namespace baobabrack::workload {

/// Job progress that must be stored before any order that depends on it is sent.
struct progress_batch {
    struct change {
        job_id job;
        job_progress progress;
    };
    std::vector<change> changes;
    /// Highest sequence number of the ended runs that were applied, for each worker instance.
    std::map<worker_instance, std::uint64_t> applied_ends;
};

}  // namespace baobabrack::workload

#endif
