#include "baobabrack/ctl/losses_report.hpp"

#include <algorithm>

#include "baobabrack/ctl/loss_analysis.hpp"

namespace baobabrack::ctl {

std::string_view to_string(waiting_cause cause) {
    switch (cause) {
        case waiting_cause::capacity:
            return "capacity";
        case waiting_cause::whole_worker:
            return "whole_worker";
        case waiting_cause::rack:
            return "rack";
        case waiting_cause::reserved:
            return "reserved";
        case waiting_cause::excluded:
            return "excluded";
        case waiting_cause::order:
            return "order";
        case waiting_cause::leader:
            return "leader";
        case waiting_cause::not_reported:
            return "not_reported";
    }
    return "unknown";
}

losses_report analyse_losses(std::vector<log_record> records) {
    std::stable_sort(
        records.begin(), records.end(),
        [](const log_record& left, const log_record& right) { return left.time < right.time; });
    return loss_analysis{records}.run();
}

}  // namespace baobabrack::ctl
