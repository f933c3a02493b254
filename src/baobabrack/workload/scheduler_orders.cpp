// Orders that answer the report of a guard.
#include <set>
#include <utility>

#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

worker_orders scheduler::orders_for(const worker_report& report) {
    const auto& instance = report.facts.instance;
    worker_orders orders{
        .worker = instance, .ends_stored = 0, .starts = {}, .stops = {}, .needs = {}};
    if (const auto stored = stored_ends_.find(instance); stored != stored_ends_.end()) {
        orders.ends_stored = stored->second;
    }
    if (!report.lists_known) {
        return orders;
    }
    std::set<std::pair<task_name, run_number>> listed;
    std::vector<start_candidate> starts;
    std::size_t pending_starts = 0;
    for (const auto& run : report.runs) {
        pending_starts += run.begun ? 0 : 1;
        listed.emplace(run.task, run.run);
        const auto ref = run.needs_unknown ? find(run.task) : std::nullopt;
        if (ref) {
            orders.needs.push_back(
                {.task = run.task, .run = run.run, .needs = ref->step->per_task});
        }
    }
    std::set<std::pair<task_name, run_number>> finished;
    for (const auto& end : report.ends) {
        finished.emplace(end.task, end.run);
    }
    for (const auto& refusal : report.refusals) {
        finished.emplace(refusal.task, refusal.run);
    }
    std::set<std::pair<task_name, run_number>> wanted;
    const bool evacuated = evacuated_.contains(report.facts.data_centre);
    for (const auto& name : runs_by_host_[instance.host]) {
        const auto ref = find(name);
        if (!ref || ref->task->phase != task_phase::assigned || ref->task->place != instance) {
            continue;
        }
        const std::pair id{name, ref->task->run};
        if (ref->state->stopping) {
            wanted.insert(id);
            if (!finished.contains(id)) {
                orders.stops.push_back({.task = name, .run = ref->task->run});
            }
            continue;
        }
        wanted.insert(id);
        const bool stored = ref->state->stored_run == ref->task->run;
        if (stored && !evacuated && !listed.contains(id) && !finished.contains(id)) {
            starts.push_back(
                {.job = &ref->job->spec, .step = ref->step, .task = ref->task, .name = name});
        }
    }
    for (const auto& run : report.runs) {
        const bool unread = unread_jobs_.contains(run.task.step.job);
        if (!unread && !wanted.contains({run.task, run.run})) {
            orders.stops.push_back({.task = run.task, .run = run.run});
        }
    }
    select_orders(orders, std::move(starts), pending_starts, options_.orders);
    return orders;
}

}  // namespace baobabrack::workload
