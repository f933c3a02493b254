#ifndef BAOBABRACK_WORKLOAD_PREEMPTION_HPP
#define BAOBABRACK_WORKLOAD_PREEMPTION_HPP

#include <map>
#include <optional>
#include <vector>

#include "baobabrack/workload/placement.hpp"

namespace baobabrack::workload {

/// Runs that can only be stopped together.
struct victim {
    std::vector<task_name> tasks;
    std::map<host_id, resources> held;
    /// Work that would be thrown away, in processor-seconds.
    double loss = 0;
};

/// Victims to stop, and the places that become free by it.
struct preemption {
    std::vector<victim> victims;
    std::vector<placed_task> places;
    double loss = 0;
};

/// @return how much work one second of a run is, in processor-seconds; an accelerator counts for
///         several processors
double work_per_second(const resources& amount);

/// Finds the victims whose stopping makes room for a group at the least loss.
///
/// Searches each host, each rack and the whole service for itself, as the cheapest victims of a
/// service are of no use when they are spread over many hosts.
///
/// @param free    what is left, with what is already being freed
/// @param victims what may be stopped
/// @return nothing if the group does not fit even without all of them
std::optional<preemption> find_preemption(const task_group& group, const candidates& free,
                                          const std::vector<victim>& victims,
                                          const placement_limits& limits);

}  // namespace baobabrack::workload

#endif
