#ifndef BAOBABRACK_WORKLOAD_CAPACITY_FORECAST_HPP
#define BAOBABRACK_WORKLOAD_CAPACITY_FORECAST_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/placement.hpp"

namespace baobabrack::workload {

/// Capacity that a run releases when it ends.
struct expected_release {
    time_point time;
    /// Index of the host in the candidates.
    std::size_t host_index = 0;
    resources amount;
    /// The run is being stopped, so it does not end later than expected.
    bool stopping = false;
};

/// Places that are free for a group at a later time.
struct future_placement {
    time_point time;
    placed_tasks places;
};

/// The free capacity of a service's workers, now and as runs end, and the capacity reserved for
/// groups that rank higher but don't fit yet.
///
/// Prevents the starvation of groups that need a whole host: without reservations, small tasks take
/// each accelerator as soon as it is released. Hosts are reserved in the order in which they are
/// expected to be free, and only tasks that end before then may still use the reserved capacity.
class capacity_forecast {
public:
    capacity_forecast() = default;

    /// @param available the free capacity of each host that accepts runs
    /// @param releases  in any order; runs whose end is not known have none
    capacity_forecast(candidates available, std::vector<expected_release> releases);

    /// @return the free capacity now, without regard to reservations
    const candidates& available() const { return available_; }

    /// @return the expected releases, ordered by time
    const std::vector<expected_release>& releases() const { return releases_; }

    /// @return the hosts with the capacity that a run with this run time may use
    candidates available_for(time_point now, duration run_time) const;

    /// @return the hosts with the unreserved capacity once all releases up to the given time have
    ///         happened; hosts that are closed now are open by then
    candidates unreserved_at(time_point time) const;

    /// @return the same once the runs that are being stopped have ended, and no others
    candidates unreserved_after_stops() const;

    /// Subtracts the resources of runs that start now.
    void allocate(const task_group& group, const placed_tasks& places);

    /// Closes the hosts of a group on trial to all other groups.
    void close(const placed_tasks& places);

    /// Closes those hosts of a placed group that are on probation.
    void close_if_on_probation(const placed_tasks& places);

    /// Reserves the places of a group from the time of its placement on.
    void reserve(const task_group& group, const future_placement& placement);

    /// @return how many hosts are reserved, from when on and for which jobs, for the log
    std::string describe_reservations(time_point now) const;

    /// Adds the release of a run that is being stopped.
    void add_release(const expected_release& release);

private:
    candidates open_hosts() const;
    void subtract_reservations(candidates& hosts) const;

    /// Capacity of a host that is reserved from a time on.
    struct reservation {
        time_point start = time_point::max();
        resources amount;
        /// The job whose reservation begins first.
        job_id holder;
    };

    candidates available_;
    std::vector<expected_release> releases_;
    // By index of the host.
    std::vector<reservation> reservations_;
};

/// @return the earliest time at which a group fits if no other run starts, with its places, or
///         nothing if it does not fit after all expected releases
std::optional<future_placement> earliest_placement(const task_group& group,
                                                   const capacity_forecast& forecast,
                                                   time_point now,
                                                   const placement_constraints& constraints);

}  // namespace baobabrack::workload

#endif
