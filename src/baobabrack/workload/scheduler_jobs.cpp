// Life cycle of jobs: occurrences, ends, and the service to which the queue of a job is sent.
#include <algorithm>
#include <utility>

#include "baobabrack/workload/job_access.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
// Allowance for clock differences between hosts: an occurrence starts this long after its due time.
constexpr milliseconds due_margin{60};

run_number latest_run(const std::vector<task_progress>& tasks) {
    run_number latest;
    for (const auto& task : tasks) {
        latest = std::max(latest, task.run);
    }
    return latest;
}

}  // namespace

void scheduler::update_jobs(wall_time wall_now) {
    for (auto entry = jobs_.begin(); entry != jobs_.end();) {
        auto& job = entry->second;
        open_due_occurrences(job, wall_now);
        if (std::exchange(job.needs_update, false)) {
            update_job(job, wall_now);
        }
        if (has_ended(job.progress.phase) && !has_assigned_tasks(job)) {
            if (job.dirty) {
                ended_jobs_.push_back({.job = entry->first, .progress = std::move(job.progress)});
            }
            entry = jobs_.erase(entry);
        } else {
            ++entry;
        }
    }
}

void scheduler::update_job(open_job& job, wall_time wall_now) {
    bool failed = job.unstorable;
    bool crashing = false;
    bool all_done = !job.progress.occurrences.empty();
    for (std::size_t at = 0; at < job.progress.occurrences.size(); ++at) {
        auto& occurrence = job.progress.occurrences[at];
        if (occurrence.done) {
            continue;
        }
        const bool finished = is_occurrence_done(job.spec, occurrence);
        all_done = all_done && finished;
        if (finished && !workload::has_assigned_tasks(occurrence)) {
            occurrence.done = true;
            occurrence.steps.clear();
            job.task_states[at].clear();
            continue;
        }
        for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
            const auto& spec = job.spec.steps[step];
            const auto& tasks = occurrence.steps[step];
            if (is_step_done(spec, tasks)) {
                continue;
            }
            const auto failures = failed_attempts(spec, tasks);
            if (!spec.long_running && failures >= job.spec.most_attempts) {
                failed = true;
                job.failure_reason =
                    "a task has used up its attempts: " + std::to_string(failures) +
                    " failures in step " + std::to_string(step) + ", " +
                    std::to_string(job.spec.most_attempts) +
                    " are allowed, and its latest run is " +
                    std::to_string(latest_run(tasks).get());
            } else if (std::any_of(tasks.begin(), tasks.end(), [](const task_progress& task) {
                           return crashes_workers(task.crashes);
                       })) {
                failed = true;
                crashing = true;
                job.failure_reason = "a task crashes the workers on which it starts";
            }
        }
    }
    counts_.given_up += crashing && !job.failed ? 1 : 0;
    job.failed = failed;
    const auto expected = std::max<std::uint32_t>(job.spec.occurrences, 1);
    all_done = all_done && job.progress.occurrences.size() == expected;
    if (!all_done && (job.cancelled || failed)) {
        stop_all_runs(job);
    } else {
        stop_broken_gangs(job);
    }
    if (has_ended(job.progress.phase)) {
        return;
    }
    // A gang step is done when one of its runs is reported as done, so the job can be complete
    // while the ends of other runs are outstanding. The job is kept until they arrive because those
    // runs still occupy resources.
    if (all_done) {
        finish_job(job, job_phase::completed, wall_now);
    } else if (job.cancelled && !has_assigned_tasks(job)) {
        finish_job(job, job_phase::cancelled, wall_now);
    } else if (failed && !has_assigned_tasks(job)) {
        finish_job(job, job_phase::failed, wall_now);
    }
}

void scheduler::open_due_occurrences(open_job& job, wall_time wall_now) {
    auto& occurrences = job.progress.occurrences;
    while (occurrences.size() < job.spec.occurrences) {
        const auto number = static_cast<std::uint32_t>(occurrences.size());
        const auto due = job.spec.first_due + duration_cast<milliseconds>(job.spec.interval) *
                                                  static_cast<std::int64_t>(number);
        if (wall_now < due + due_margin || !may_open_occurrence(job)) {
            return;
        }
        occurrences.push_back(new_occurrence(job.spec, number));
        auto& steps = job.task_states.emplace_back();
        for (const auto& step : job.spec.steps) {
            steps.emplace_back(step.tasks);
        }
        job.needs_update = true;
        capacity_changed_ = true;
    }
}

// Returns whether the progress of the job still fits into one record with another occurrence.
// Otherwise those that are due begin as earlier ones are done.
bool scheduler::may_open_occurrence(open_job& job) {
    const auto& occurrences = job.progress.occurrences;
    const auto begun = static_cast<std::size_t>(
        std::count_if(occurrences.begin(), occurrences.end(),
                      [](const occurrence_progress& occurrence) { return !occurrence.done; }));
    const auto bytes = expected_progress_bytes(job.spec, begun + 1);
    const bool fits = begun == 0 || bytes <= options_.max_progress_bytes;
    if (!fits && !job.occurrences_delayed) {
        add_decision_event("occurrences-delayed", {.step = {.job = job.spec.id}}, {}, {},
                           std::to_string(begun) +
                               " occurrences have begun, and the state of one "
                               "more would make " +
                               std::to_string(bytes) + " bytes of " +
                               std::to_string(options_.max_progress_bytes));
    }
    job.occurrences_delayed = !fits;
    return fits;
}

void scheduler::stop_all_runs(open_job& job) {
    for_each_task(job, [&](const task_ref& ref) {
        if (ref.task->phase == task_phase::assigned) {
            stop_run(name_of(ref), ref,
                     job.cancelled ? stop_cause::job_cancelled : stop_cause::job_failed);
        }
    });
}

// A gang cannot continue after one of its runs has ended unfinished.
void scheduler::stop_broken_gangs(open_job& job) {
    for_each_task(job, [&](const task_ref& ref) {
        if (!ref.step->gang || ref.task->phase != task_phase::assigned ||
            is_step_done(*ref.step, *ref.tasks)) {
            return;
        }
        const auto is_waiting = [](const task_progress& task) {
            return task.phase == task_phase::waiting;
        };
        const auto is_stopping = [](const task_state& state) { return state.stopping; };
        if (std::any_of(ref.tasks->begin(), ref.tasks->end(), is_waiting) ||
            std::any_of(ref.states->begin(), ref.states->end(), is_stopping)) {
            stop_run(name_of(ref), ref, stop_cause::gang_ended);
        }
    });
}

bool scheduler::has_assigned_tasks(const open_job& job) const {
    const auto& occurrences = job.progress.occurrences;
    return std::any_of(occurrences.begin(), occurrences.end(),
                       [](const occurrence_progress& occurrence) {
                           return !occurrence.done && workload::has_assigned_tasks(occurrence);
                       });
}

void scheduler::finish_job(open_job& job, job_phase phase, wall_time wall_now) {
    job.progress.phase = phase;
    job.progress.ended = wall_now;
    job.dirty = true;
    add_decision_event("job-" + std::string{to_string(phase)}, {.step = {.job = job.spec.id}}, {},
                       {}, phase == job_phase::failed ? job.failure_reason : "");
}

void scheduler::update_owners(const workspace_registry& workspaces) {
    if (workspaces_ == &workspaces && workspaces_revision_ == workspaces.revision()) {
        return;
    }
    workspaces_ = &workspaces;
    workspaces_revision_ = workspaces.revision();
    for (auto& [id, job] : jobs_) {
        job.workspace = workspace_of(job.spec);
    }
    capacity_changed_ = true;
}

workspace_id scheduler::workspace_of(const job_spec& spec) const {
    if (workspaces_ == nullptr) {
        return spec.workspace;
    }
    const auto* owner = find_owner(spec, *workspaces_);
    return owner == nullptr ? workspace_id{} : workspace_registry::current_name(*owner);
}

void scheduler::update_services(const workload_config& config) {
    for (auto& [id, job] : jobs_) {
        if (job.routed_by < config.version) {
            update_service(job, config);
        }
    }
}

// A job that has been accepted follows its queue to another service. If its queue has been removed,
// it stays where it is.
void scheduler::update_service(open_job& job, const workload_config& config) {
    job.routed_by = config.version;
    const auto* queue = config.find_queue(job.spec.queue);
    if (queue == nullptr || queue->service == job.service) {
        return;
    }
    add_decision_event("job-rerouted", {.step = {.job = job.spec.id}}, {}, {},
                       "queue " + job.spec.queue.get() + " went from service " + job.service.get() +
                           " to " + queue->service.get());
    job.service = queue->service;
}

}  // namespace baobabrack::workload
