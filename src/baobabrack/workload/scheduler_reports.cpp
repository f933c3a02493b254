// Processing of guard reports and the orders sent in reply.
#include <algorithm>
#include <set>
#include <utility>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

namespace {

// A run has stalled if its percentage does not change for `stall_base` plus the time that it needs
// for `stall_percent` percent at its fastest rate.
constexpr duration stall_base = std::chrono::milliseconds{1500};
constexpr double stall_percent = 4;
// Additional time before the first progress: for starting a task, for a gang until all its runs
// have started, and in both cases a share of the estimated run time.
constexpr duration start_allowance = std::chrono::milliseconds{700};
constexpr duration gang_start_allowance = std::chrono::milliseconds{1500};
constexpr double start_share = 0.06;
// A run is moved from a slow worker if the expected remaining time there is longer than that
// elsewhere by this much plus a fifth.
constexpr duration min_time_saved = std::chrono::milliseconds{600};
constexpr double gain_factor = 1.2;
// A slow worker is expected to stay slow for as long as it has been slow so far, at least for this
// time, and then to regain full speed.
constexpr duration min_slow_time = std::chrono::seconds{5};
// Minimum number of measured sibling runs for a comparison.
constexpr std::size_t min_siblings = 3;
constexpr double full_percent = 100;
// The time until a run counts as stalled doubles with each stalled run of its task, this often at
// most.
constexpr std::uint32_t max_stall_doublings = 6;

}  // namespace

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
    auto& history = workers_.find_or_add(place.host).history;
    if (end.outcome == run_outcome::done) {
        ++counts_.done;
        history.record_success();
        record_run_time(*ref, now);
        release_run(end.task, *ref);
        ref->task->phase = task_phase::done;
        ref->state->stopping = false;
        ref->job->dirty = true;
        return;
    }
    if (end.outcome == run_outcome::failed) {
        ++counts_.failed;
        count_failure(*ref->step, *ref->tasks, *ref->task, end.run);
        const auto after = now - ref->state->assigned_at;
        history.record_failure(end.task.step.job, after, now);
        if (run_history::is_quick_failure(after)) {
            ref->job->quick_failures[place.host] = now;
        }
    }
    requeue_task(end.task, *ref, end.checkpoint);
}

// The end tells more than the loss: the task may be done, or has used up an attempt.
void scheduler::apply_end_of_lost_run(const ended_run& end, const task_ref& ref) {
    if (end.outcome == run_outcome::done) {
        ++counts_.done;
        ref.task->phase = task_phase::done;
    } else if (end.outcome == run_outcome::failed) {
        ++counts_.failed;
        count_failure(*ref.step, *ref.tasks, *ref.task, end.run);
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
// acknowledged like any other, so it must count: a task that is done must not start again.
void scheduler::apply_end_of_earlier_run(const ended_run& end, const task_ref& ref) {
    if (end.outcome == run_outcome::failed) {
        ++counts_.failed;
        count_failure(*ref.step, *ref.tasks, *ref.task, end.run);
    } else if (end.outcome != run_outcome::done || ref.step->long_running) {
        return;
    } else if (ref.task->phase == task_phase::waiting) {
        ++counts_.done;
        ref.task->phase = task_phase::done;
        ref.task->place = {};
    } else {
        ++counts_.done;
        ref.task->done_earlier = true;
        stop_run(end.task, ref, "an earlier run of the task has ended as done");
    }
    ref.job->dirty = true;
    ref.job->needs_update = true;
    capacity_changed_ = true;
}

// Records the run time against its estimate, once per gang, if the run started from the beginning
// and had a fast placement and a worker of normal speed.
void scheduler::record_run_time(const task_ref& ref, time_point now) {
    const bool from_start = ref.task->checkpoint.empty() || !ref.step->checkpoints;
    const bool leads_gang = ref.index == 0 || !ref.step->gang;
    if (from_start && leads_gang && has_fast_placement(ref) &&
        !ref.state->worker->speed.is_slow(now)) {
        run_times_.add(ref.job->spec.queue, ref.job->declared_run_times[ref.step_number],
                       now - ref.state->assigned_at);
    }
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
        ref->state->begun = ref->state->begun || run.begun;
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

void scheduler::check_progress(const task_name& name, const reported_run& run, const task_ref& ref,
                               time_point now) {
    auto& measured = ref.state->measured_rate;
    measured.add_sample(run.percent, now);
    if (run.percent >= full_percent || ref.step->long_running || ref.state->stopping) {
        measured.restart(now);
        return;
    }
    if (now - measured.unchanged_since() > stall_timeout(ref)) {
        handle_stalled_run(name, ref, now);
    }
}

// A stalled member of a gang blocks all others, so a worker is suspected only if no run of another
// job progresses on it. If this applies to several workers, they are only marked as degraded.
void scheduler::handle_stalled_run(const task_name& name, const task_ref& ref, time_point now) {
    std::set<worker_state*> suspects;
    for (auto& state : *ref.states) {
        const bool affected = ref.step->gang || &state == ref.state;
        if (affected && state.worker != nullptr &&
            !other_jobs_progress(*state.worker, name.step.job, now)) {
            suspects.insert(state.worker);
        }
    }
    for (auto* worker : suspects) {
        if (suspects.size() > 1) {
            worker->history.mark_degraded(now);
        } else {
            worker->speed.record_stall(now);
            worker->history.record_failure(name.step.job, now - ref.state->assigned_at, now);
        }
    }
    ++ref.state->stall_count;
    stop_run(name, ref,
             "no progress at " + std::to_string(ref.state->measured_rate.percent()) + "%");
}

// Returns whether runs of other jobs on the worker have made progress recently.
bool scheduler::other_jobs_progress(const worker_state& worker, const job_id& job, time_point now) {
    for (const auto& name : runs_by_host_[worker.facts.instance.host]) {
        if (name.step.job == job) {
            continue;
        }
        const auto ref = find(name);
        if (ref && ref->state->measured_rate.has_measurement() &&
            now - ref->state->measured_rate.unchanged_since() < stall_base) {
            return true;
        }
    }
    return false;
}

// A run whose estimate is far too low shows its first progress late. It looks stalled on every
// worker, so each further run of the task gets more time.
duration scheduler::stall_timeout(const task_ref& ref) const {
    const auto& measured = ref.state->measured_rate;
    if (measured.has_measurement()) {
        return stall_base + from_seconds(stall_percent / measured.fastest());
    }
    auto stalls = ref.state->stall_count;
    if (ref.step->gang) {
        for (const auto& state : *ref.states) {
            stalls = std::max(stalls, state.stall_count);
        }
    }
    return first_progress_timeout(*ref.step) * (1U << std::min(stalls, max_stall_doublings));
}

duration scheduler::first_progress_timeout(const step_spec& step) {
    return stall_base + (step.gang ? gang_start_allowance : start_allowance) +
           from_seconds(to_seconds(step.estimated) * start_share);
}

// Returns the expected rate in percent per second at the run's current host, or zero if unknown.
double scheduler::expected_rate(const task_ref& ref) const {
    const auto& measured = ref.state->measured_rate;
    if (!has_fast_placement(ref)) {
        return measured.fastest();
    }
    auto rate = std::max(measured.fastest(), sibling_rate(ref));
    const auto longest =
        run_times_.upper_bound(ref.job->spec.queue, ref.job->declared_run_times[ref.step_number]);
    if (longest) {
        rate = std::max(rate, full_percent / to_seconds(*longest));
    }
    return rate;
}

// Returns the median rate of the step's runs on other workers, or zero if too few are measured.
// Runs of a gang progress together and are not compared.
double scheduler::sibling_rate(const task_ref& ref) const {
    if (ref.step->gang) {
        return 0;
    }
    std::vector<double> rates;
    for (const auto& state : *ref.states) {
        if (&state != ref.state && state.worker != ref.state->worker &&
            state.measured_rate.has_measurement()) {
            rates.push_back(state.measured_rate.fastest());
        }
    }
    if (rates.size() < min_siblings) {
        return 0;
    }
    const auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
    std::nth_element(rates.begin(), middle, rates.end());
    return *middle;
}

// Returns whether the run is in the rack of its data and its gang in one rack, so that placement
// does not slow it down.
bool scheduler::has_fast_placement(const task_ref& ref) const {
    const auto rack_of = [](const task_state& state) {
        return state.worker == nullptr ? rack_id{} : state.worker->facts.rack;
    };
    const auto rack = rack_of(*ref.state);
    if (!ref.step->data_rack.get().empty() && ref.step->data_rack != rack) {
        return false;
    }
    return !ref.step->gang || !ref.step->rack_local ||
           std::all_of(ref.states->begin(), ref.states->end(),
                       [&](const task_state& state) { return rack_of(state) == rack; });
}

// Updates the speed of a worker from its newly measured runs. Uses the fastest one, since a run can
// be slow because of its own task or because of another member of its gang.
void scheduler::update_worker_speed(worker_state& worker, time_point now) {
    double share = 0;
    bool has_sample = false;
    bool shared = false;
    for (const auto& name : runs_by_host_[worker.facts.instance.host]) {
        const auto ref = find(name);
        if (!ref || !ref->state->measured_rate.has_new_window() || ref->state->stopping) {
            continue;
        }
        const auto expected = expected_rate(*ref);
        if (expected > 0 && ref->state->measured_rate.current() / expected >= share) {
            share = ref->state->measured_rate.current() / expected;
            shared = ref->step->gang && ref->step->tasks > 1;
            has_sample = true;
        }
    }
    if (has_sample) {
        worker.speed.add_sample(share, shared, now);
    }
    if (worker.speed.is_slow(now)) {
        const auto names = runs_by_host_[worker.facts.instance.host];
        for (const auto& name : names) {
            if (const auto ref = find(name)) {
                move_from_slow_worker(name, *ref, now);
            }
        }
    }
}

// Stops a run on a slow worker if a restart elsewhere is expected to end sooner.
void scheduler::move_from_slow_worker(const task_name& name, const task_ref& ref, time_point now) {
    const auto& measured = ref.state->measured_rate;
    const auto expected = expected_rate(ref);
    if (ref.state->moved || ref.state->stopping || expected <= 0 || !measured.has_measurement() ||
        ref.task->phase != task_phase::assigned || ref.step->long_running) {
        return;
    }
    const auto left = full_percent - measured.percent();
    const auto slow_s =
        to_seconds(std::max(min_slow_time, ref.state->worker->speed.slow_duration(now)));
    const auto slow_progress = measured.current() * slow_s;
    const auto remaining_here = left <= slow_progress ? left / measured.current()
                                                      : slow_s + (left - slow_progress) / expected;
    const auto remaining_elsewhere = (ref.step->checkpoints ? left : full_percent) / expected;
    if (remaining_here < remaining_elsewhere * gain_factor + to_seconds(min_time_saved)) {
        return;
    }
    task_group group{.step = name.step,
                     .spec = ref.step,
                     .tasks = {name.index},
                     .tasks_on_host = {},
                     .excluded_hosts = {}};
    if (place(group, find_candidates(service_for(*ref.job, *ref.step), now), {})) {
        // Only once: if the run is slow again, its estimate is wrong.
        ref.state->moved = true;
        stop_run(name, ref, "the worker is slow");
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
void scheduler::mark_runs_lost(const worker_instance& place, const std::string& why) {
    for (const auto& ref : runs_of_other_instances(place)) {
        const auto name = name_of(ref);
        ++counts_.lost;
        add_decision_event("run-lost", name, ref.task->run, place.host,
                           why + "; the run was listed for " + to_ms_text(confirmed_run_time(ref)));
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
            mark_runs_lost(none, "the worker's lease expired");
        }
    }
}

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
    for (const auto& run : report.runs) {
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
    const auto runs = runs_by_host_.find(instance.host);
    for (const auto& name : runs == runs_by_host_.end() ? std::set<task_name>{} : runs->second) {
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
        if (stored && !listed.contains(id) && !finished.contains(id)) {
            orders.starts.push_back({.task = name,
                                     .run = ref->task->run,
                                     .payload = ref->job->spec.payload,
                                     .checkpoint = ref->task->checkpoint,
                                     .needs = ref->step->per_task,
                                     .confirm_worker = ref->task->crashes != crash_record{}});
        }
    }
    for (const auto& run : report.runs) {
        const bool unread = unread_jobs_.contains(run.task.step.job);
        if (!unread && !wanted.contains({run.task, run.run})) {
            orders.stops.push_back({.task = run.task, .run = run.run});
        }
    }
    return orders;
}

}  // namespace baobabrack::workload
