#ifndef BAOBABRACK_WORKLOAD_PLACEMENT_HPP
#define BAOBABRACK_WORKLOAD_PLACEMENT_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "baobabrack/workload/job_spec.hpp"
#include "baobabrack/workload/worker_table.hpp"

namespace baobabrack::workload {

/// A worker that may take runs now, with what is left of it.
struct candidate {
    /// Owned by the table of workers.
    const worker_facts* facts = nullptr;
    resources available;
    /// To be used only where the others do not suffice.
    bool degraded = false;
};

/// Places are positions in this list, so its order does not change while they are in use.
using candidates = std::vector<candidate>;

/// Tasks of one step that wait for places: a whole gang, or tasks that run each for itself.
struct task_group {
    step_name step;
    const step_spec* spec = nullptr;
    std::vector<std::uint32_t> tasks;
    /// Tasks of the step that each host has already; kept only for steps with a limit for one
    /// worker.
    std::map<host_id, std::uint32_t> tasks_on_host;
    /// Hosts where the job's runs have failed at once.
    std::vector<host_id> excluded_hosts;
};

struct placed_task {
    std::uint32_t index = 0;
    /// Position of the host in the candidates.
    std::size_t host_index = 0;
};

using placed_tasks = std::vector<placed_task>;

/// Which slower places are acceptable by now.
struct placement_constraints {
    /// Away from the rack that holds the data.
    bool allow_remote = true;
    /// Over several racks although the gang is rack-local.
    bool allow_multiple_racks = true;
};

/// @return how many tasks of the group a host can take with what is left of it
std::uint32_t task_capacity(const task_group& group, const candidate& host);

/// Chooses a host for each task of a group, or nothing if they do not all fit.
///
/// Prefers hosts that are not doubtful, then the rack of the data, then one rack for the whole
/// gang, then the hosts with the least left, so that large groups find whole hosts later.
std::optional<placed_tasks> place(const task_group& group, const candidates& from,
                                  const placement_constraints& limits);

/// Chooses hosts for as many tasks of a group as fit, in the same order of preference.
placed_tasks place_partial(const task_group& group, const candidates& from,
                           const placement_constraints& limits);

/// Takes what a group holds from the candidates.
void allocate(candidates& from, const task_group& group, const placed_tasks& places);

}  // namespace baobabrack::workload

#endif
