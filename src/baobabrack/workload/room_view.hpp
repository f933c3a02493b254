#ifndef BAOBABRACK_WORKLOAD_ROOM_VIEW_HPP
#define BAOBABRACK_WORKLOAD_ROOM_VIEW_HPP

#include <map>
#include <optional>
#include <vector>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/placement.hpp"

namespace baobabrack::workload {

/// Room that a run gives back when it ends.
struct expected_release {
    time_point at;
    host_id host;
    resources amount;
};

/// Places that a group can have at a later moment.
struct later_places {
    time_point at;
    std::vector<placed_task> places;
};

/// What is free on the workers of a service now, what will be, and what is kept for groups that
/// come first but do not fit yet.
///
/// Answers the load in which small tasks take every accelerator as it becomes free, so that a
/// group that needs a whole host never finds one: hosts are reserved for it in the order of their
/// expected ends, and only tasks that end before then may still use them.
struct room_view {
    candidates left;
    /// By time.
    std::vector<expected_release> releases;

    /// Room of a host that is kept from a moment on.
    struct reservation {
        time_point from;
        resources amount;
    };
    std::map<host_id, reservation> reserved;

    /// @return the hosts with what a run of this length may use of them
    candidates usable(time_point now, duration run_time) const;

    /// Keeps places for a group.
    void reserve(const task_group& group, const later_places& places);
};

/// @return when and where a group fits first if no other run begins, or nothing if it never does
std::optional<later_places> earliest(const task_group& group, const room_view& room, time_point now,
                                     const placement_limits& limits);

}  // namespace baobabrack::workload

#endif
