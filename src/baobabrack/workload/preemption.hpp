#ifndef BAOBABRACK_WORKLOAD_PREEMPTION_HPP
#define BAOBABRACK_WORKLOAD_PREEMPTION_HPP

#include <cstddef>
#include <optional>
#include <utility>
#include <vector>

#include "baobabrack/workload/placement.hpp"

namespace baobabrack::workload {

/// Runs that can only be stopped together.
struct victim {
    std::vector<task_name> tasks;
    /// What the runs hold, by position of the host in the candidates.
    std::vector<std::pair<std::size_t, resources>> allocations;
    /// Work that would be thrown away, in processor-seconds.
    double lost_work = 0;
};

/// Victims to stop, and the places that become free by it.
struct preemption_plan {
    /// Positions in the list of victims.
    std::vector<std::size_t> victims;
    placed_tasks places;
    double lost_work = 0;
};

/// @return how much work one second of a run is, in processor-seconds; an accelerator counts for
///         several processors
double work_per_second(const resources& amount);

/// Finds the victims whose stopping makes room for a group at the least loss.
///
/// Each place is bought where it costs the least: the hosts are compared by what stopping their
/// cheapest victims costs for each place that becomes free, and what has been bought for one place
/// is free for the next. Racks are compared whole when the group has to stay in one.
///
/// @param free    what is left, with what is already being freed
/// @param victims what may be stopped
/// @return nothing if the group does not fit even without all of them
std::optional<preemption_plan> find_preemption(const task_group& group, const candidates& free,
                                               const std::vector<victim>& victims,
                                               const placement_constraints& limits);

}  // namespace baobabrack::workload

#endif
