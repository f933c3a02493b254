#include "baobabrack/workload/announcement_age.hpp"

#include <algorithm>

namespace baobabrack::workload {

namespace {

// The worker's clock and that of the host may each run slow by up to 2%.
constexpr int clock_drift_divisor = 25;

duration since_epoch(worker_time clock) {
    return std::chrono::milliseconds{clock.get()};
}

}  // namespace

// A reading may have been under way for any time, so an older one that says more is kept, less what
// the clocks may have drifted since.
void announcement_age::record_clock(worker_time reading, time_point now) {
    const auto offset = since_epoch(reading) - now.time_since_epoch();
    const auto drift = (now - offset_at_) / clock_drift_divisor;
    offset_ = offset_ ? std::max(offset, *offset_ - drift) : offset;
    offset_at_ = now;
}

void announcement_age::record_announcement(std::optional<worker_time> clock, time_point now) {
    if (clock) {
        record_clock(*clock, now);
    }
    announced_ = clock;
    arrived_ = now;
}

duration announcement_age::value(time_point now) const {
    if (!arrived_) {
        return duration::max();
    }
    const auto since_arrival = now - *arrived_;
    if (!announced_) {
        return since_arrival;
    }
    return std::max(since_arrival, worker_clock(now) - since_epoch(*announced_));
}

// Returns an estimate of what the worker's clock shows; zero before the first reading.
duration announcement_age::worker_clock(time_point now) const {
    return offset_ ? now.time_since_epoch() + *offset_ : duration::zero();
}

}  // namespace baobabrack::workload
