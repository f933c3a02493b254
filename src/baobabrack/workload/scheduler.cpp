#include "baobabrack/workload/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace baobabrack::workload {

void scheduler::load(const job_table& book, time_point now, time_point leases_expired_at) {
    inherited_lease_expiry_ = leases_expired_at;
    const auto unread = book.jobs_without_submission();
    unread_jobs_ = {unread.begin(), unread.end()};
    for (const auto& [id, job] : book.jobs()) {
        add_job(job, now);
    }
}

void scheduler::add_job(const stored_job& job, time_point now) {
    unread_jobs_.erase(job.spec.id);
    if (jobs_.contains(job.spec.id) || has_ended(job.progress.phase)) {
        return;
    }
    insert_job({.spec = job.spec,
                .declared_run_times = {},
                .progress = job.progress,
                .cancelled = job.cancelled,
                .added_at = now,
                .task_states = {},
                .dirty = false});
    restore_assignments(jobs_.at(job.spec.id), now);
}

// Accounts for the runs that an earlier leader assigned.
void scheduler::restore_assignments(open_job& job, time_point now) {
    for_each_task(job, [&](const task_ref& ref) {
        if (ref.task->phase != task_phase::assigned) {
            return;
        }
        const auto name = name_of(ref);
        ref.state->stored_run = ref.task->run;
        ref.state->restored = true;
        ref.state->stopping = ref.task->done_earlier;
        ref.state->assigned_at = now;
        ref.state->measured_rate.restart(now);
        const auto& place = ref.task->place;
        auto* assigned_worker = workers_.find(place.host);
        if (assigned_worker == nullptr) {
            assigned_worker = &workers_.find_or_add(place.host);
            assigned_worker->facts.instance = place;
            assigned_worker->lease_expired_after = inherited_lease_expiry_;
        }
        allocate_run(name, ref);
        if (assigned_worker->facts.instance != place &&
            assigned_worker->last_heard != time_point{}) {
            ++counts_.lost;
            add_decision_event("run-lost", name, ref.task->run, place.host,
                               "a newer worker instance runs on the host");
            account_run(ref, lost_work_cause::worker_crashed, now);
            note_lost_run(
                ref,
                {.task = name,
                 .run = {.on_trial = trials_.contains(name), .begun = false, .observed = false},
                 .crash = {.host = place.host, .scope = crash_scope::several},
                 .when = {.host = place.host, .next_began = assigned_worker->began}});
            requeue_lost_task(name, ref);
        }
    });
}

void scheduler::insert_job(open_job job) {
    for (const auto& step : job.spec.steps) {
        job.declared_run_times.push_back(step.estimated);
    }
    if (job.spec.occurrences == 0 && job.progress.occurrences.empty()) {
        job.progress.occurrences.push_back(new_occurrence(job.spec, 0));
    }
    for (const auto& occurrence : job.progress.occurrences) {
        auto& steps = job.task_states.emplace_back();
        for (const auto& tasks : occurrence.steps) {
            steps.emplace_back(tasks.size());
        }
    }
    job.service = job.spec.service;
    job.routed_by = job.spec.config;
    job.workspace = workspace_of(job.spec);
    capacity_changed_ = true;
    jobs_.emplace(job.spec.id, std::move(job));
}

void scheduler::cancel_job(const job_id& id) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end()) {
        found->second.cancelled = true;
        found->second.needs_update = true;
    }
}

task_name scheduler::name_of(const task_ref& ref) {
    return {
        .step = {.job = ref.job->spec.id, .occurrence = ref.occurrence, .step = ref.step_number},
        .index = ref.index};
}

std::optional<scheduler::task_ref> scheduler::find(const task_name& task) {
    const auto found = jobs_.find(task.step.job);
    if (found == jobs_.end()) {
        return std::nullopt;
    }
    auto& job = found->second;
    auto& occurrences = job.progress.occurrences;
    const auto at = std::find_if(occurrences.begin(), occurrences.end(),
                                 [&](const occurrence_progress& occurrence) {
                                     return occurrence.number == task.step.occurrence;
                                 });
    if (at == occurrences.end() || task.step.step >= at->steps.size() ||
        task.index >= at->steps[task.step.step].size()) {
        return std::nullopt;
    }
    auto& tasks = at->steps[task.step.step];
    auto& states =
        job.task_states[static_cast<std::size_t>(at - occurrences.begin())][task.step.step];
    return task_ref{.job = &job,
                    .occurrence = task.step.occurrence,
                    .step_number = task.step.step,
                    .index = task.index,
                    .step = &job.spec.steps[task.step.step],
                    .tasks = &tasks,
                    .states = &states,
                    .task = &tasks[task.index],
                    .state = &states[task.index]};
}

// Adds a run to its host and, if it belongs to the current worker instance, to the resources in
// use.
void scheduler::allocate_run(const task_name& name, const task_ref& ref) {
    const auto& place = ref.task->place;
    if (ref.task->crashes.trial > duration::zero()) {
        trials_.insert(name);
    }
    runs_by_host_[place.host].insert(name);
    auto& worker = workers_.find_or_add(place.host);
    ref.state->worker = &worker;
    if (worker.facts.instance == place) {
        worker.used.add(ref.step->per_task);
    }
}

void scheduler::release_run(const task_name& name, const task_ref& ref) {
    const auto& place = ref.task->place;
    runs_by_host_[place.host].erase(name);
    trials_.erase(name);
    changed_hosts_.insert(place.host);
    capacity_changed_ = true;
    ref.job->needs_update = true;
    auto* worker = std::exchange(ref.state->worker, nullptr);
    if (worker != nullptr && worker->facts.instance == place) {
        worker->used = remaining_resources(worker->used, ref.step->per_task);
    }
}

// Ends the run of an unfinished task, which then waits for another run, unless an earlier one has
// ended as done.
void scheduler::requeue_task(const task_name& name, const task_ref& ref,
                             const std::string& checkpoint) {
    release_run(name, ref);
    ref.task->phase = ref.task->done_earlier ? task_phase::done : task_phase::waiting;
    ref.task->place = {};
    if (!checkpoint.empty() && ref.step->checkpoints) {
        ref.task->checkpoint = checkpoint;
    }
    ref.state->stopping = false;
    ref.job->dirty = true;
}

// Does the same for a run whose end is not known. Its place is kept, as its end may still arrive.
void scheduler::requeue_lost_task(const task_name& name, const task_ref& ref) {
    const auto place = ref.task->place;
    requeue_task(name, ref, "");
    ref.task->place = ref.task->phase == task_phase::waiting ? place : worker_instance{};
}

void scheduler::stop_run(const task_name& name, const task_ref& ref, stop_cause cause,
                         const std::string& detail) {
    if (ref.task->phase != task_phase::assigned || ref.state->stopping) {
        return;
    }
    ref.state->stopping = true;
    ref.state->stopping_since = {};
    ref.state->stopped_for = cause;
    ref.job->needs_update = true;
    capacity_changed_ = true;
    ++counts_.stopped;
    changed_hosts_.insert(ref.task->place.host);
    add_decision_event("run-stopping", name, ref.task->run, ref.task->place.host,
                       std::string{to_string(cause)} + detail);
}

// Divides the time of a run that has ended into lost and preserved work, and adds that to the last
// decision event, which is that of the end.
void scheduler::account_run(const task_ref& ref, std::optional<lost_work_cause> cause,
                            time_point ended) {
    const auto account = account_for({.assigned = ref.state->assigned_at,
                                      .listed_since = ref.state->listed_since,
                                      .checkpoint_at = ref.state->checkpoint_at,
                                      .ended = ended,
                                      .restored = ref.state->restored},
                                     cause);
    lost_work_.add(account, ref.step->per_task);
    decision_events_.back().account = account;
}

progress_batch scheduler::drain_batch(bool with_checkpoints) {
    progress_batch batch;
    batch.changes = std::exchange(ended_jobs_, {});
    for (auto& [id, job] : jobs_) {
        if (job.dirty || (with_checkpoints && job.checkpoints_dirty)) {
            job.dirty = false;
            job.checkpoints_dirty = false;
            batch.changes.push_back({.job = id, .progress = job.progress});
        }
    }
    if (!batch.changes.empty() || ends_dirty_) {
        batch.applied_ends = applied_ends_;
        ends_dirty_ = false;
    }
    return batch;
}

// The job is stored as ended at once, so that its ends can be acknowledged like those of others;
// its runs are stopped afterwards.
job_progress scheduler::give_up_unstorable(const job_id& id, wall_time wall_now) {
    const auto found = jobs_.find(id);
    if (found == jobs_.end()) {
        return {.phase = job_phase::failed, .occurrences = {}, .ended = wall_now};
    }
    auto& job = found->second;
    job.unstorable = true;
    job.failure_reason = "its state is larger than the store takes";
    job.needs_update = true;
    if (!has_ended(job.progress.phase)) {
        ++counts_.unstorable;
        finish_job(job, job_phase::failed, wall_now);
    }
    return job.progress;
}

void scheduler::mark_stored(const progress_batch& batch) {
    for (const auto& change : batch.changes) {
        const auto found = jobs_.find(change.job);
        if (found == jobs_.end()) {
            continue;
        }
        auto& job = found->second;
        for (std::size_t at = 0; at < change.progress.occurrences.size(); ++at) {
            const auto& steps = change.progress.occurrences[at].steps;
            // Empty if the occurrence has been done since the batch was drained.
            const auto current_steps = job.task_states[at].size();
            for (std::size_t step = 0; step < std::min(steps.size(), current_steps); ++step) {
                for (std::size_t index = 0; index < steps[step].size(); ++index) {
                    const auto& task = steps[step][index];
                    if (task.phase == task_phase::assigned) {
                        job.task_states[at][step][index].stored_run = task.run;
                        changed_hosts_.insert(task.place.host);
                    }
                }
            }
        }
    }
    for (const auto& [instance, number] : batch.applied_ends) {
        auto& last_stored = stored_ends_[instance];
        if (last_stored < number) {
            last_stored = number;
            changed_hosts_.insert(instance.host);
        }
    }
}

std::set<host_id> scheduler::drain_changed_hosts() {
    return std::exchange(changed_hosts_, {});
}

std::vector<scheduler::decision_event> scheduler::drain_decision_events() {
    return std::exchange(decision_events_, {});
}

void scheduler::add_decision_event(std::string event, const task_name& task, run_number run,
                                   const host_id& host, std::string detail) {
    decision_events_.push_back({.event = std::move(event),
                                .task = task,
                                .run = run,
                                .host = host,
                                .detail = std::move(detail),
                                .account = std::nullopt,
                                .waits_for = std::nullopt,
                                .excluded_as = {}});
}

}  // namespace baobabrack::workload
