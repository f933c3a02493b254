// Runs on workers that leave.
#include "baobabrack/workload/departure.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

void scheduler::update_departure(worker_state& worker, time_point now) {
    const auto& facts = worker.facts;
    worker.departure =
        facts.draining && facts.time_left ? std::optional{now + *facts.time_left} : std::nullopt;
}

void scheduler::stop_departing_runs(time_point now) {
    for (const auto& [host, worker] : workers_.all()) {
        if (!worker.departure || worker.expired) {
            continue;
        }
        const auto names = runs_by_host_[host];
        for (const auto& name : names) {
            const auto ref = find(name);
            if (!ref || ref->task->phase != task_phase::assigned || ref->state->stopping) {
                continue;
            }
            const auto due = stop_before_departure(
                {.expected_end = expected_end(*ref, now), .saved_by_stop = ref->step->checkpoints},
                now, *worker.departure, options_.max_stop_delay);
            if (due && *due <= now) {
                ++counts_.departed;
                stop_run(name, *ref, stop_cause::worker_leaves);
            }
        }
    }
}

}  // namespace baobabrack::workload
