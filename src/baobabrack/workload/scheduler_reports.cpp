// Processing of guard reports, and of workers that have stopped reporting.
#include <algorithm>
#include <utility>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

bool scheduler::handle_report(const worker_report& report, time_point now) {
    const auto& instance = report.facts.instance;
    auto& worker = workers_.find_or_add(instance.host);
    if (worker.facts.instance != instance) {
        // The reported instance may be outdated until the worker has responded to its guard.
        if (!report.lists_known && !runs_by_host_[instance.host].empty()) {
            return false;
        }
        handle_new_instance(worker, report, now);
        applied_ends_.erase(worker.facts.instance);
        stored_ends_.erase(worker.facts.instance);
        worker.facts.instance = instance;
        worker.lists_at = {};
        worker.first_heard = {};
        worker.used = used_by(instance);
        worker.history = {};
        worker.speed = {};
        worker.expired = false;
        worker.renewal_suspended = false;
    }
    const bool responding = report.lists_known && !report.lease_suspended;
    capacity_changed_ = capacity_changed_ || worker.responding != responding ||
                        worker.facts.draining != report.facts.draining ||
                        worker.facts.capacity != report.facts.capacity ||
                        worker.capacity_outdated != report.capacity_outdated;
    worker.facts = report.facts;
    update_departure(worker, now);
    worker.capacity_outdated = report.capacity_outdated;
    worker.last_heard = now;
    worker.first_heard = worker.first_heard == time_point{} ? now : worker.first_heard;
    worker.began = now - report.worker_age;
    worker.responding = responding;
    if (!report.lease_suspended) {
        worker.lease_expired_after =
            std::max(worker.lease_expired_after, now + lease_expiry_bound(options_.lease));
    } else {
        const auto expired_after = now + lease_expiry_bound(report.lease_remaining);
        // The lease has not been renewed since the first report with this flag. Once nothing
        // remains of it, later reports say nothing new.
        const bool known = worker.renewal_suspended && report.lease_remaining <= duration::zero();
        worker.lease_expired_after =
            known ? std::min(worker.lease_expired_after, expired_after) : expired_after;
    }
    worker.renewal_suspended = report.lease_suspended;
    if (!report.lists_known) {
        return true;
    }
    worker.lists_at = now - report.lists_age;
    worker.expired = worker.expired && report.lease_suspended;
    for (const auto& end : report.ends) {
        if (unread_jobs_.contains(end.task.step.job)) {
            break;
        }
        auto& last_applied = applied_ends_[instance];
        if (end.sequence > last_applied) {
            last_applied = end.sequence;
            ends_dirty_ = true;
            apply_end(end, instance, now);
        }
    }
    for (const auto& refusal : report.refusals) {
        apply_refusal(refusal, instance, now);
    }
    apply_runs(report, now);
    return true;
}

void scheduler::apply_end(const ended_run& end, const worker_instance& place, time_point now) {
    const auto ref = find(end.task);
    const bool current = ref && ref->task->phase == task_phase::assigned &&
                         ref->task->run == end.run && ref->task->place == place;
    // The run was taken for lost when its lease expired, and the task has not started again.
    const bool lost = ref && ref->task->phase == task_phase::waiting && ref->task->run == end.run &&
                      ref->task->place == place;
    const bool earlier = ref && ref->task->phase != task_phase::done && end.run < ref->task->run;
    add_decision_event("run-ended", end.task, end.run, place.host,
                       std::string{to_string(end.outcome)} +
                           (lost ? ", taken for lost before" : "") +
                           (current || lost ? "" : ", not the current run"));
    // A short run ends before a report lists it.
    if ((current || lost || earlier) && !std::exchange(ref->job->progress.begun, true)) {
        ref->job->dirty = true;
    }
    if (lost) {
        apply_end_of_lost_run(end, *ref);
        return;
    }
    if (earlier) {
        apply_end_of_earlier_run(end, *ref);
        return;
    }
    if (!current) {
        return;
    }
    if (!end.checkpoint.empty() && ref->step->checkpoints &&
        end.checkpoint != ref->task->checkpoint) {
        ref->state->checkpoint_at = now;
    }
    // A long-running task is meant to run until its job is cancelled.
    const bool complete =
        ref->step->long_running && ref->state->stopped_for == stop_cause::job_cancelled;
    account_run(*ref,
                complete ? std::nullopt : lost_work_cause_of(end.outcome, ref->state->stopped_for),
                now);
    auto& history = workers_.find_or_add(place.host).history;
    if (end.outcome == run_outcome::done) {
        ++counts_.done;
        history.record_success();
        if (ref->step->long_running) {
            requeue_task(end.task, *ref, end.checkpoint);
            return;
        }
        record_run_time(*ref, now);
        release_run(end.task, *ref);
        ref->task->phase = task_phase::done;
        ref->state->stopping = false;
        ref->job->dirty = true;
        return;
    }
    if (end.outcome == run_outcome::failed) {
        ++counts_.failed;
        record_failure(*ref->step, *ref->tasks, *ref->task, end.run);
        const auto after = now - ref->state->assigned_at;
        history.record_failure(end.task.step.job, after, now);
        if (run_history::is_quick_failure(after)) {
            ref->job->quick_failures[place.host] = now;
        }
    }
    requeue_task(end.task, *ref, end.checkpoint);
}

// The end tells more than the loss: the task may be done, or has used up an attempt. A long-running
// task is never done.
void scheduler::apply_end_of_lost_run(const ended_run& end, const task_ref& ref) {
    if (end.outcome == run_outcome::done) {
        ++counts_.done;
        ref.task->phase = ref.step->long_running ? task_phase::waiting : task_phase::done;
    } else if (end.outcome == run_outcome::failed) {
        ++counts_.failed;
        record_failure(*ref.step, *ref.tasks, *ref.task, end.run);
    }
    if (!end.checkpoint.empty() && ref.step->checkpoints) {
        ref.task->checkpoint = end.checkpoint;
    }
    ref.task->place = {};
    ref.job->dirty = true;
    ref.job->needs_update = true;
    capacity_changed_ = true;
}

// The run was taken for lost, and the next one was assigned before its end arrived. The end is
// acknowledged like any other, so it must count: a task that is done must not start again. An
// earlier leader may have stored its effect, as guards repeat an end until it is acknowledged.
void scheduler::apply_end_of_earlier_run(const ended_run& end, const task_ref& ref) {
    if (end.outcome == run_outcome::failed) {
        if (!record_failure(*ref.step, *ref.tasks, *ref.task, end.run)) {
            return;
        }
        ++counts_.failed;
    } else if (end.outcome != run_outcome::done || ref.step->long_running ||
               ref.task->done_earlier) {
        return;
    } else if (ref.task->phase == task_phase::waiting) {
        ++counts_.done;
        ref.task->phase = task_phase::done;
        ref.task->place = {};
    } else {
        ++counts_.done;
        ref.task->done_earlier = true;
        stop_run(end.task, ref, stop_cause::done_earlier);
    }
    ref.job->dirty = true;
    ref.job->needs_update = true;
    capacity_changed_ = true;
}

void scheduler::apply_refusal(const refused_run& refusal, const worker_instance& place,
                              time_point now) {
    const auto ref = find(refusal.task);
    const bool current = ref && ref->task->phase == task_phase::assigned &&
                         ref->task->run == refusal.run && ref->task->place == place;
    if (!current) {
        return;
    }
    ++counts_.refused;
    add_decision_event("start-refused", refusal.task, refusal.run, place.host, refusal.reason);
    account_run(*ref, lost_work_cause::start_refused, now);
    if (refusal.reason == "unavailable" || refusal.reason == "unreachable" ||
        refusal.reason == "no_room") {
        workers_.find_or_add(place.host)
            .history.record_failure(refusal.task.step.job, now - ref->state->assigned_at, now);
    }
    requeue_task(refusal.task, *ref, "");
}

// Allows for clocks of the worker and of its guard that each run slow by up to 2%.
duration scheduler::lease_expiry_bound(duration lease) const {
    return lease + lease / 25 + options_.lease_slack;
}

// Records that the worker has started the task's current run.
void scheduler::mark_begun(const task_ref& ref) {
    ref.state->begun = true;
    if (!std::exchange(ref.job->progress.begun, true)) {
        ref.job->dirty = true;
    }
}

// Updates checkpoints and progress from the listed runs.
void scheduler::apply_runs(const worker_report& report, time_point now) {
    auto& worker = workers_.find_or_add(report.facts.instance.host);
    const bool had_orphaned_runs = std::exchange(worker.has_orphaned_runs, false);
    for (const auto& run : report.runs) {
        const auto ref = find(run.task);
        const bool wanted = ref && ref->task->phase == task_phase::assigned &&
                            ref->task->run == run.run && ref->task->place == report.facts.instance;
        if (!wanted) {
            // Also true for a run of an unread job: what it needs is unknown.
            worker.has_orphaned_runs = true;
            changed_hosts_.insert(report.facts.instance.host);
            continue;
        }
        ref->state->sent = true;
        if (run.begun) {
            mark_begun(*ref);
        }
        if (run.listed) {
            const auto listed_at = now - report.lists_age;
            auto& state = *ref->state;
            state.listed_since =
                state.listed_since == time_point{} ? listed_at : state.listed_since;
            state.listed_until = std::max(state.listed_until, listed_at);
            update_trial(run.task, *ref);
            update_test_run(worker, run, *ref, now);
        }
        if (!run.checkpoint.empty() && ref->step->checkpoints &&
            ref->task->checkpoint != run.checkpoint) {
            ref->task->checkpoint = run.checkpoint;
            ref->state->checkpoint_at = now - report.lists_age;
            ref->job->checkpoints_dirty = true;
        }
        if (worker.responding && report.lists_age < max_list_age) {
            check_progress(run.task, run, *ref, now - report.lists_age);
        } else {
            ref->state->measured_rate.restart(now);
        }
    }
    update_worker_speed(worker, now);
    capacity_changed_ = capacity_changed_ || (had_orphaned_runs && !worker.has_orphaned_runs);
}

// Returns whether the run has been assigned since the worker's last failure, so that it shows
// whether the worker fails all that it starts.
bool scheduler::is_test_run(const worker_state& worker, const task_state& state) const {
    return state.worker == &worker && state.assigned_at > worker.history.last_failure();
}

bool scheduler::has_test_run(const worker_state& worker) {
    const auto& names = runs_by_host_[worker.facts.instance.host];
    return std::any_of(names.begin(), names.end(), [&](const task_name& name) {
        const auto ref = find(name);
        return ref && is_test_run(worker, *ref->state);
    });
}

// A test run that goes on for long enough and makes progress is a success before its end, which may
// be far away or, for a long-running task, never come.
void scheduler::update_test_run(worker_state& worker, const reported_run& run, const task_ref& ref,
                                time_point now) {
    if (worker.history.health(now) != worker_health::probation ||
        !is_test_run(worker, *ref.state)) {
        return;
    }
    const bool progresses =
        ref.step->long_running ? run.percent > 0 : ref.state->measured_rate.has_measurement();
    if (progresses &&
        ref.state->listed_until - ref.state->listed_since >= worker.history.proof_time()) {
        worker.history.record_success();
        capacity_changed_ = true;
    }
}

// Returns the resources of all runs that are assigned to a worker instance.
resources scheduler::used_by(const worker_instance& instance) {
    resources used;
    for (const auto& name : runs_by_host_[instance.host]) {
        const auto ref = find(name);
        if (ref && ref->task->phase == task_phase::assigned && ref->task->place == instance) {
            used.add(ref->step->per_task);
        }
    }
    return used;
}

// Marks the runs of all other instances of the host's worker as lost.
void scheduler::mark_runs_lost(const worker_instance& place, lost_work_cause cause,
                               const std::string& why) {
    for (const auto& ref : runs_of_other_instances(place)) {
        const auto name = name_of(ref);
        ++counts_.lost;
        add_decision_event("run-lost", name, ref.task->run, place.host,
                           why + "; the run was listed for " + to_ms_text(confirmed_run_time(ref)));
        account_run(ref, cause, ref.state->listed_until);
        requeue_lost_task(name, ref);
    }
}

// A worker whose lease has certainly expired runs nothing any more.
void scheduler::expire_silent_workers(time_point now) {
    for (auto& [host, worker] : workers_.all()) {
        const bool silent = !worker.responding || now > worker.last_heard + options_.silence_limit;
        if (!worker.expired && silent && now > worker.lease_expired_after) {
            worker.expired = true;
            worker.used = {};
            const worker_instance none{.host = host, .worker = {}, .version = {}};
            // A silent guard means that the host is unreachable or down, not its worker alone. A
            // worker that was shutting down has left.
            if (worker.renewal_suspended && !worker.facts.draining &&
                now <= worker.last_heard + options_.silence_limit) {
                // Until the worker has returned lists, the reports do not tell this leader which
                // starts were sent.
                const auto starts_known = worker.lists_at == time_point{}
                                              ? std::nullopt
                                              : std::optional{worker.facts.instance};
                handle_worker_crash(worker,
                                    {.text = "it has not responded until its lease expired",
                                     .current = none,
                                     .began = now,
                                     .starts_known = starts_known},
                                    now);
            }
            mark_runs_lost(none, lost_work_cause::lease_expired, "the worker's lease expired");
        }
    }
}

}  // namespace baobabrack::workload
