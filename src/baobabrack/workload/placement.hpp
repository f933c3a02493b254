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

/// A worker that accepts new runs, with its free capacity.
struct candidate {
    /// Owned by the worker table.
    const worker_facts* facts = nullptr;
    resources available;
    /// Resources that the runs of the worker use beyond a capacity that has shrunk.
    resources excess;
    /// Used only if the other candidates don't suffice.
    bool degraded = false;
    /// The worker is on probation and takes the runs of one group at a time.
    bool on_probation = false;
    /// A run is on trial there, or a group has been placed on a worker on probation, so no other
    /// run may start.
    bool closed = false;
};

/// @param used resources of all runs on the worker
candidate make_candidate(const worker_facts& facts, const resources& used);

/// @return whether the worker, if it were idle, would have room for a task of the step
bool can_host(const worker_facts& facts, const step_spec& step);

/// Returns resources of a run that ends to its host: they reduce the excess first.
void release(candidate& host, const resources& amount);

/// Placed tasks refer to candidates by index, so the order must not change while they are in use.
using candidates = std::vector<candidate>;

/// Tasks of one step that wait for hosts: a whole gang, or independent tasks.
struct task_group {
    step_name step;
    const step_spec* spec = nullptr;
    std::vector<std::uint32_t> tasks;
    /// Number of tasks of the step already on each host; filled only for steps that limit the
    /// number of tasks per worker.
    std::map<host_id, std::uint32_t> tasks_on_host;
    /// Hosts on which runs of the job failed right after their start.
    std::vector<host_id> excluded_hosts;
    /// A task of the group is suspected of crashing workers and gets a trial.
    bool on_trial = false;
};

struct placed_task {
    std::uint32_t index = 0;
    /// Index of the host in the candidates.
    std::size_t host_index = 0;
};

using placed_tasks = std::vector<placed_task>;

/// Which of the slower placements are allowed.
struct placement_constraints {
    /// Allows hosts outside the rack that holds the data.
    bool allow_remote = true;
    /// Allows a rack-local gang to span several racks.
    bool allow_multiple_racks = true;
};

/// Allows only hosts on which a task runs at full speed.
inline constexpr placement_constraints fast_only{.allow_remote = false,
                                                 .allow_multiple_racks = false};

/// @return the number of tasks of the group that fit into the free capacity of the host
std::uint32_t task_capacity(const task_group& group, const candidate& host);

/// Chooses a host for every task of a group.
///
/// Prefers hosts that are not degraded, then the rack of the data, then a single rack for the whole
/// group, then the hosts with the least free capacity, so that empty hosts remain for large groups.
/// A group on trial prefers the hosts with the most free capacity, where a crash ends least work.
///
/// @return nothing if not all tasks fit
std::optional<placed_tasks> place(const task_group& group, const candidates& hosts,
                                  const placement_constraints& constraints);

/// Chooses hosts for as many tasks of a group as fit.
///
/// Uses only the rack of the data unless remote hosts are allowed; otherwise prefers hosts that are
/// not degraded, then those with the least free capacity. Ignores whether a group spans racks.
placed_tasks place_partial(const task_group& group, const candidates& hosts,
                           const placement_constraints& constraints);

/// Subtracts the resources of the placed tasks from the candidates.
void allocate(candidates& hosts, const task_group& group, const placed_tasks& places);

}  // namespace baobabrack::workload

#endif
