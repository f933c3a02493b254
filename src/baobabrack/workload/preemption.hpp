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
    /// Resources that the runs hold, by index of the host in the candidates.
    std::vector<std::pair<std::size_t, resources>> allocations;
    /// Work lost by stopping the runs, in processor-seconds.
    double lost_work = 0;
    /// The runs have priority 0 and use accelerators beyond the guarantee of their workspace.
    bool borrowing = false;
};

/// Which victims may be stopped.
enum class victim_choice { lower_priority, lower_priority_or_borrowing };

/// Victims to stop, and the places for the group that are free afterwards.
struct preemption_plan {
    /// Indices into the list of victims.
    std::vector<std::size_t> victims;
    placed_tasks places;
    double lost_work = 0;
};

/// @return the work that a run with these resources does per second, in processor-seconds; an
///         accelerator counts as several processors
double work_per_second(const resources& amount);

/// Selects victims whose termination frees enough capacity for a group, at a low loss of work.
///
/// The search is greedy: it repeatedly takes the host with the least lost work per task placed, and
/// counts everything that the selected victims release, on any host, as free for the tasks that
/// remain. If the group has to stay in one rack, each rack is searched separately.
///
/// @param free    the free capacity, including capacity that is already being released
/// @param victims the runs that may be stopped
/// @param choice  which of the victims are considered
/// @return nothing if the group doesn't fit even when all these victims are stopped
std::optional<preemption_plan> find_preemption(
    const task_group& group, const candidates& free, const std::vector<victim>& victims,
    const placement_constraints& constraints, victim_choice choice = victim_choice::lower_priority);

}  // namespace baobabrack::workload

#endif
