#ifndef BAOBABRACK_WORKLOAD_PLACEMENT_HPP
#define BAOBABRACK_WORKLOAD_PLACEMENT_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "baobabrack/workload/job_spec.hpp"
#include "baobabrack/workload/worker_table.hpp"

namespace baobabrack::workload {

/// A worker that may take runs now, with what is left of it.
struct candidate {
    host_id host;
    rack_id rack;
    std::vector<label> labels;
    resources left;
};

using candidates = std::vector<candidate>;

/// Tasks that are placed together: one, or a whole gang.
struct task_group {
    step_name step;
    const step_spec* spec = nullptr;
    std::vector<std::uint32_t> tasks;
    /// Tasks of the step that each host has already.
    std::map<host_id, std::uint32_t> on_host;
};

struct placed_task {
    std::uint32_t index = 0;
    host_id host;
};

/// Which slower places are acceptable by now.
struct placement_limits {
    /// Away from the rack that holds the data.
    bool remote = true;
    /// Over several racks although the gang is rack-local.
    bool spread = true;
};

/// Chooses a host for each task of a group, or nothing if they do not all fit.
///
/// Prefers the rack of the data, then one rack for the whole gang, then the hosts with the least
/// left, so that large groups find whole hosts later.
std::optional<std::vector<placed_task>> place(const task_group& group, const candidates& from,
                                              const placement_limits& limits);

/// Takes what a group holds from the candidates.
void take(candidates& from, const task_group& group, const std::vector<placed_task>& places);

}  // namespace baobabrack::workload

#endif
