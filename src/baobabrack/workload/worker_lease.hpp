#ifndef BAOBABRACK_WORKLOAD_WORKER_LEASE_HPP
#define BAOBABRACK_WORKLOAD_WORKER_LEASE_HPP

#include <cstdint>
#include <optional>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/worker_port.hpp"

namespace baobabrack::workload {

/// How long a worker's lease may be extended, and how long it can last: what the guard was granted
/// by the clock of its host, turned into the worker's own clock.
///
/// While the worker is silent its lease is left to lapse, so that the leader can count on the
/// moment at which its runs are gone; it is extended again only with the leader's leave.
class worker_lease {
public:
    /// Begins for a life of the worker.
    ///
    /// @param lasts_until when a lease that an earlier guard may have given has lapsed
    void reset(time_point expires_at);

    /// The worker's clock stood at least at this value when its answer came.
    void update_clock(worker_time clock, time_point now);

    bool has_clock() const { return clock_read_at_ != time_point{}; }

    /// The leader allows the lease to last until then, by this host's clock.
    void grant(time_point until);

    /// @return what the lease may be extended to in a call that goes out now, or nothing
    std::optional<worker_time> extend(time_point now);

    /// The worker does not answer any more.
    void suspend();

    /// The worker answers again.
    ///
    /// @param report the next report, which says so; orders that answer it give the leave
    void resume(std::uint64_t report);

    /// Orders have answered a report.
    void acknowledge_report(std::uint64_t report);

    bool suspended() const { return suspended_; }

    /// @return the longest that any call, answered or not, can have made the lease last
    duration remaining(time_point now) const;

private:
    worker_time clock_;
    time_point clock_read_at_{};
    time_point granted_until_{};
    time_point latest_expiry_{};
    bool suspended_ = false;
    std::uint64_t resume_report_ = 0;
};

}  // namespace baobabrack::workload

#endif
