#include "baobabrack/workload/worker_lease.hpp"

#include <algorithm>

namespace baobabrack::workload {

void worker_lease::reset(time_point expires_at) {
    clock_read_at_ = {};
    latest_expiry_ = expires_at;
    suspended_ = false;
    resume_report_ = 0;
}

void worker_lease::update_clock(worker_time clock, time_point now) {
    clock_ = clock;
    clock_read_at_ = now;
}

void worker_lease::grant(time_point until) {
    granted_until_ = std::max(granted_until_, until);
}

std::optional<worker_time> worker_lease::extend(time_point now) {
    if (!has_clock() || granted_until_ <= now || suspended_ || resume_report_ > 0) {
        return std::nullopt;
    }
    latest_expiry_ = std::max(latest_expiry_, granted_until_);
    const auto span = std::chrono::duration_cast<std::chrono::milliseconds>(granted_until_ - now);
    return worker_time{clock_.get() + span.count()};
}

void worker_lease::assume(time_point expires_at) {
    latest_expiry_ = std::max(latest_expiry_, expires_at);
}

void worker_lease::suspend() {
    suspended_ = true;
    resume_report_ = 0;
}

void worker_lease::resume(std::uint64_t report) {
    suspended_ = false;
    resume_report_ = report;
}

void worker_lease::acknowledge_report(std::uint64_t report) {
    if (report >= resume_report_) {
        resume_report_ = 0;
    }
}

duration worker_lease::remaining(time_point now) const {
    return std::max(duration::zero(), latest_expiry_ - now);
}

}  // namespace baobabrack::workload
