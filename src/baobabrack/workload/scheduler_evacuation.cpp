// Evacuated data centres: nothing starts there, and runs that have begun go on.
#include <algorithm>
#include <string>
#include <utility>

#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

void scheduler::set_evacuated(const std::set<data_centre_id>& evacuated) {
    if (evacuated_ == evacuated) {
        return;
    }
    const auto previous = std::exchange(evacuated_, evacuated);
    // What was withheld may start again, and what waits may be placed elsewhere.
    capacity_changed_ = true;
    for (const auto& [host, worker] : workers_.all()) {
        changed_hosts_.insert(host);
    }
    for (const auto& zone : evacuated_) {
        if (previous.contains(zone)) {
            continue;
        }
        const auto workers = std::count_if(
            workers_.all().begin(), workers_.all().end(),
            [&](const auto& entry) { return entry.second.facts.data_centre == zone; });
        add_decision_event("evacuation-applied", {}, {}, {},
                           "data centre " + zone.get() + ", workers: " + std::to_string(workers) +
                               (workers == 0 ? "; no worker names this data centre" : ""));
    }
}

bool scheduler::is_evacuated(const worker_state& worker) const {
    return evacuated_.contains(worker.facts.data_centre);
}

// Stops the runs in evacuated data centres that have not begun, as far as the lists of their worker
// tell. A run that an earlier leader assigned may have begun until the worker's guard has reported
// lists to this leader.
void scheduler::withdraw_evacuated_runs() {
    if (evacuated_.empty()) {
        return;
    }
    for (const auto& [host, names] : runs_by_host_) {
        const auto* worker = workers_.find(host);
        if (names.empty() || worker == nullptr || !is_evacuated(*worker) ||
            worker->lists_at == time_point{}) {
            continue;
        }
        for (const auto& name : names) {
            const auto ref = find(name);
            if (ref && ref->task->place == worker->facts.instance && !ref->state->begun) {
                stop_run(name, *ref, stop_cause::evacuated);
            }
        }
    }
}

}  // namespace baobabrack::workload
