#include "baobabrack/workload/worker_lease.hpp"

#include <algorithm>

namespace baobabrack::workload {

void worker_lease::begin(time_point lasts_until) {
    clock_at_ = {};
    given_until_ = lasts_until;
    suspended_ = false;
    resumed_by_ = 0;
}

void worker_lease::take_clock(worker_time clock, time_point now) {
    clock_ = clock;
    clock_at_ = now;
}

void worker_lease::grant(time_point until) {
    granted_until_ = std::max(granted_until_, until);
}

std::optional<worker_time> worker_lease::extend(time_point now) {
    if (!knows_clock() || granted_until_ <= now || suspended_ || resumed_by_ > 0) {
        return std::nullopt;
    }
    given_until_ = std::max(given_until_, granted_until_);
    const auto span =
        std::chrono::duration_cast<std::chrono::milliseconds>(granted_until_ - clock_at_);
    return worker_time{clock_.get() + span.count()};
}

void worker_lease::suspend() {
    suspended_ = true;
    resumed_by_ = 0;
}

void worker_lease::resume(std::uint64_t report) {
    suspended_ = false;
    resumed_by_ = report;
}

void worker_lease::answered(std::uint64_t report) {
    if (report >= resumed_by_) {
        resumed_by_ = 0;
    }
}

duration worker_lease::left(time_point now) const {
    return std::max(duration::zero(), given_until_ - now);
}

}  // namespace baobabrack::workload
