#ifndef BAOBABRACK_WORKLOAD_WORKER_LEASE_HPP
#define BAOBABRACK_WORKLOAD_WORKER_LEASE_HPP

#include <cstdint>
#include <optional>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/worker_port.hpp"

namespace baobabrack::workload {

/// Tracks the lease of a worker: the time until which it may be extended, and the time at which it
/// expires at the latest. Converts the leader's grants, which use the clock of the guard's host, to
/// the worker's own clock.
///
/// The lease of an unresponsive worker is not extended, so that the leader can rely on the time at
/// which the worker's runs have stopped. It is extended again only after the leader has answered a
/// report that says that the worker responds again.
class worker_lease {
public:
    /// Resets the lease for a new instance of the worker.
    ///
    /// @param expires_at latest expiry of a lease that an earlier guard may have extended
    void reset(time_point expires_at);

    /// Records a reading of the worker's clock. When its answer arrived, the worker's clock had at
    /// least this value.
    void update_clock(worker_time clock, time_point now);

    bool has_clock() const { return clock_read_at_ != time_point{}; }

    /// Records that the leader allows the lease to last until this time of the host's clock.
    void grant(time_point until);

    /// Converts the grant to the worker's clock. Since its latest reading that clock may have
    /// stopped for any time, as it does while its host is suspended.
    ///
    /// @return the expiry time that a call sent now may set, or nothing if the lease must not be
    ///         extended
    std::optional<worker_time> extend(time_point now);

    /// Records that the lease may last until this time, for a reason other than a grant.
    void assume(time_point expires_at);

    /// Stops extending the lease because the worker does not answer any more.
    void suspend();

    /// Records that the worker answers again.
    ///
    /// @param report number of the next report, which says so; the lease is extended only after
    ///               orders have answered that report
    void resume(std::uint64_t report);

    /// Records that orders have answered the report with this number.
    void acknowledge_report(std::uint64_t report);

    bool suspended() const { return suspended_; }

    /// @return the longest time for which the lease can still last, given every call that was sent,
    ///         answered or not
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
