#include "baobabrack/workload/lost_work.hpp"

#include <algorithm>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload/preemption.hpp"

namespace baobabrack::workload {

std::optional<lost_work_cause> lost_work_cause_of(run_outcome outcome,
                                                  std::optional<stop_cause> stopped) {
    if (outcome == run_outcome::done) {
        return stopped == stop_cause::done_earlier ? std::optional{lost_work_cause::done_twice}
                                                   : std::nullopt;
    }
    if (outcome == run_outcome::failed) {
        return lost_work_cause::run_failed;
    }
    if (stopped) {
        return cause_of(*stopped);
    }
    switch (outcome) {
        case run_outcome::lease_lapsed:
            return lost_work_cause::lease_expired;
        case run_outcome::gang_broken:
        case run_outcome::gang_incomplete:
            return lost_work_cause::gang_ended;
        default:
            return lost_work_cause::unknown;
    }
}

run_account account_for(const run_times& times, std::optional<lost_work_cause> cause) {
    run_account account{.cause = cause};
    if (times.listed_since == time_point{}) {
        return account;
    }
    if (!times.restored) {
        account.start_delay = std::max(duration::zero(), times.listed_since - times.assigned);
    }
    if (!cause) {
        return account;
    }
    const auto saved_until = std::clamp(times.checkpoint_at, times.listed_since,
                                        std::max(times.listed_since, times.ended));
    account.saved = saved_until - times.listed_since;
    account.lost = std::max(duration::zero(), times.ended - saved_until);
    return account;
}

void lost_work_totals::add(const run_account& account, const resources& per_task) {
    if (account.cause) {
        core_seconds_.at(static_cast<std::size_t>(*account.cause)) +=
            to_seconds(account.lost) * work_per_second(per_task);
    }
}

void lost_work_totals::add(const lost_work_totals& other) {
    for (std::size_t at = 0; at < core_seconds_.size(); ++at) {
        core_seconds_.at(at) += other.core_seconds_.at(at);
    }
}

double lost_work_totals::core_seconds(lost_work_cause cause) const {
    return core_seconds_.at(static_cast<std::size_t>(cause));
}

}  // namespace baobabrack::workload
