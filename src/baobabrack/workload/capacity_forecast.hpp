#ifndef BAOBABRACK_WORKLOAD_CAPACITY_FORECAST_HPP
#define BAOBABRACK_WORKLOAD_CAPACITY_FORECAST_HPP

#include <cstddef>
#include <optional>
#include <vector>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/placement.hpp"

namespace baobabrack::workload {

/// Room that a run gives back when it ends.
struct expected_release {
    time_point time;
    /// Position of the host in the candidates.
    std::size_t host_index = 0;
    resources amount;
};

/// Places that a group can have at a later moment.
struct future_placement {
    time_point time;
    placed_tasks places;
};

/// What is free on the workers of a service now, what will be, and what is kept for groups that
/// come first but do not fit yet.
///
/// Answers the load in which small tasks take every accelerator as it becomes free, so that a
/// group that needs a whole host never finds one: hosts are reserved for it in the order of their
/// expected ends, and only tasks that end before then may still use them.
class capacity_forecast {
public:
    capacity_forecast() = default;

    /// @param left     what is left of each host that may take runs
    /// @param releases in any order
    capacity_forecast(candidates left, std::vector<expected_release> releases);

    /// @return what is left now, whatever is kept
    const candidates& available() const { return available_; }

    /// @return by time
    const std::vector<expected_release>& releases() const { return releases_; }

    /// @return the hosts with what a run of this length may use of them
    candidates available_for(time_point now, duration run_time) const;

    /// @return the hosts with what nobody else has reserved, once every run that ends until a
    ///         moment has ended
    candidates unreserved_at(time_point until) const;

    /// Takes room away for runs that begin now.
    void allocate(const task_group& group, const placed_tasks& places);

    /// Keeps places for a group.
    void reserve(const task_group& group, const future_placement& later);

    /// Runs are being stopped: their room comes back then.
    void add_release(const expected_release& release);

private:
    /// Room of a host that is kept from a moment on.
    struct reservation {
        time_point from = time_point::max();
        resources amount;
    };

    candidates available_;
    std::vector<expected_release> releases_;
    // By position of the host.
    std::vector<reservation> reserved_;
};

/// @return when and where a group fits first if no other run begins, or nothing if it never does
std::optional<future_placement> earliest_placement(const task_group& group,
                                                   const capacity_forecast& room, time_point now,
                                                   const placement_constraints& limits);

}  // namespace baobabrack::workload

#endif
