#ifndef BAOBABRACK_WORKLOAD_ROOM_VIEW_HPP
#define BAOBABRACK_WORKLOAD_ROOM_VIEW_HPP

#include <cstddef>
#include <optional>
#include <vector>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/placement.hpp"

namespace baobabrack::workload {

/// Room that a run gives back when it ends.
struct expected_release {
    time_point at;
    /// Position of the host in the candidates.
    std::size_t host = 0;
    resources amount;
};

/// Places that a group can have at a later moment.
struct later_places {
    time_point at;
    placed_tasks places;
};

/// What is free on the workers of a service now, what will be, and what is kept for groups that
/// come first but do not fit yet.
///
/// Answers the load in which small tasks take every accelerator as it becomes free, so that a
/// group that needs a whole host never finds one: hosts are reserved for it in the order of their
/// expected ends, and only tasks that end before then may still use them.
class room_view {
public:
    room_view() = default;

    /// @param left     what is left of each host that may take runs
    /// @param releases in any order
    room_view(candidates left, std::vector<expected_release> releases);

    /// @return what is left now, whatever is kept
    const candidates& left() const { return left_; }

    /// @return by time
    const std::vector<expected_release>& releases() const { return releases_; }

    /// @return the hosts with what a run of this length may use of them
    candidates usable(time_point now, duration run_time) const;

    /// @return the hosts with what nobody else has reserved, once every run that ends until a
    ///         moment has ended
    candidates unreserved(time_point until) const;

    /// Takes room away for runs that begin now.
    void take(const task_group& group, const placed_tasks& places);

    /// Keeps places for a group.
    void reserve(const task_group& group, const later_places& later);

    /// Runs are being stopped: their room comes back then.
    void add_release(const expected_release& release);

private:
    /// Room of a host that is kept from a moment on.
    struct reservation {
        time_point from = time_point::max();
        resources amount;
    };

    candidates left_;
    std::vector<expected_release> releases_;
    // By position of the host.
    std::vector<reservation> reserved_;
};

/// @return when and where a group fits first if no other run begins, or nothing if it never does
std::optional<later_places> earliest(const task_group& group, const room_view& room, time_point now,
                                     const placement_constraints& limits);

}  // namespace baobabrack::workload

#endif
