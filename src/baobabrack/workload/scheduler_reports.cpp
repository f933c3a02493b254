// What guards report, and the orders that answer them.
#include <algorithm>
#include <set>
#include <utility>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

namespace {

// A run whose percentage does not change for this long, and for the time of some percent more,
// stands still.
constexpr duration stall_base = std::chrono::milliseconds{1500};
constexpr double stall_percent = 4;
// A run may need this much longer before it moves at all, a gang until all its runs are there, and
// both the time of some percent of what they are estimated at.
constexpr duration start_time = std::chrono::milliseconds{700};
constexpr duration gang_start_time = std::chrono::milliseconds{1500};
constexpr double start_share = 0.06;
// A run on a slow worker is moved if that is expected to save this much time, and a fifth of it.
constexpr duration least_gain = std::chrono::milliseconds{600};
constexpr double gain_factor = 1.2;
// A slow worker is expected to stay slow for as long again as it has been, and for this long at
// least. Then it is as fast as before.
constexpr duration least_slow_time = std::chrono::seconds{5};
// A run is compared with siblings once this many have been measured.
constexpr std::size_t least_siblings = 3;
constexpr double whole_percent = 100;

// Older lists say nothing about progress.
constexpr duration fresh_lists = std::chrono::milliseconds{1200};

}  // namespace

void scheduler::handle_report(const worker_report& report, time_point now) {
    const auto& instance = report.facts.instance;
    auto& worker = workers_.find_or_add(instance.host);
    if (worker.facts.instance != instance) {
        // Only a life that has answered its guard is surely the one that runs now.
        if (!report.lists_known && !runs_by_host_[instance.host].empty()) {
            return;
        }
        mark_runs_lost(instance, "a newer worker runs on the host");
        applied_ends_.erase(worker.facts.instance);
        stored_ends_.erase(worker.facts.instance);
        worker.facts.instance = instance;
        worker.used = {};
        worker.history = {};
        worker.speed = {};
        worker.expired = false;
        worker.renewal_suspended = false;
    }
    const bool responding = report.lists_known && !report.lease_suspended;
    capacity_changed_ = capacity_changed_ || worker.responding != responding ||
                        worker.facts.draining != report.facts.draining;
    worker.facts = report.facts;
    worker.last_heard = now;
    worker.responding = responding;
    if (!report.lease_suspended) {
        worker.lease_expired_after =
            std::max(worker.lease_expired_after, now + lease_expiry_bound(options_.lease));
    } else if (worker.renewal_suspended) {
        // Nobody has extended it since the first such report.
        worker.lease_expired_after =
            std::min(worker.lease_expired_after, now + lease_expiry_bound(report.lease_remaining));
    } else {
        worker.lease_expired_after = now + lease_expiry_bound(report.lease_remaining);
    }
    worker.renewal_suspended = report.lease_suspended;
    if (!report.lists_known) {
        return;
    }
    worker.expired = worker.expired && report.lease_suspended;
    for (const auto& end : report.ends) {
        auto& taken = applied_ends_[instance];
        if (end.sequence > taken) {
            taken = end.sequence;
            ends_dirty_ = true;
            apply_end(end, instance, now);
        }
    }
    for (const auto& refusal : report.refusals) {
        apply_refusal(refusal, instance, now);
    }
    apply_runs(report, now);
}

void scheduler::apply_end(const ended_run& end, const worker_life& place, time_point now) {
    const auto ref = find(end.task);
    const bool current = ref && ref->task->phase == task_phase::assigned &&
                         ref->task->run == end.run && ref->task->place == place;
    add_decision_event(
        "run-ended", end.task, end.run, place.host,
        std::string{to_string(end.outcome)} + (current ? "" : ", of an earlier run"));
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
        ++ref->task->failures;
        const auto after = now - ref->state->assigned_at;
        history.record_failure(end.task.step.job, after, now);
        if (run_history::is_quick_failure(after)) {
            ref->job->quick_failures[place.host] = now;
        }
    }
    requeue_task(end.task, *ref, end.checkpoint);
}

// A run that began anew near its data on a sound worker tells what its queue's estimates are worth.
void scheduler::record_run_time(const task_ref& ref, time_point now) {
    const bool whole = ref.task->checkpoint.empty() || !ref.step->checkpoints;
    const bool first = ref.index == 0 || !ref.step->gang;
    if (whole && first && has_fast_placement(ref) && !ref.state->worker->speed.is_slow(now)) {
        estimate_errors_.add(ref.job->spec.queue, ref.step->estimated,
                             now - ref.state->assigned_at);
    }
}

void scheduler::apply_refusal(const refused_run& refusal, const worker_life& place,
                              time_point now) {
    const auto ref = find(refusal.task);
    const bool current = ref && ref->task->phase == task_phase::assigned &&
                         ref->task->run == refusal.run && ref->task->place == place;
    if (!current) {
        return;
    }
    ++counts_.refused;
    add_decision_event("start-refused", refusal.task, refusal.run, place.host, refusal.reason);
    if (refusal.reason == "unavailable" || refusal.reason == "no_room") {
        workers_.find_or_add(place.host)
            .history.record_failure(refusal.task.step.job, now - ref->state->assigned_at, now);
    }
    requeue_task(refusal.task, *ref, "");
}

// The worker's clock may be slow by a fiftieth, and so may its guard's.
duration scheduler::lease_expiry_bound(duration lease) const {
    return lease + lease / 25 + options_.lease_slack;
}

// Takes checkpoints and progress from the runs that are listed.
void scheduler::apply_runs(const worker_report& report, time_point now) {
    auto& worker = workers_.find_or_add(report.facts.instance.host);
    const bool had_orphaned_runs = std::exchange(worker.has_orphaned_runs, false);
    for (const auto& run : report.runs) {
        const auto ref = find(run.task);
        const bool wanted = ref && ref->task->phase == task_phase::assigned &&
                            ref->task->run == run.run && ref->task->place == report.facts.instance;
        if (!wanted) {
            worker.has_orphaned_runs = true;
            changed_hosts_.insert(report.facts.instance.host);
            continue;
        }
        if (!run.checkpoint.empty() && ref->step->checkpoints &&
            ref->task->checkpoint != run.checkpoint) {
            ref->task->checkpoint = run.checkpoint;
            ref->job->checkpoints_dirty = true;
        }
        if (worker.responding && report.lists_age < fresh_lists) {
            check_progress(run.task, run, *ref, now - report.lists_age);
        } else {
            ref->state->measured_rate.restart(now);
        }
    }
    update_worker_speed(worker, now);
    capacity_changed_ = capacity_changed_ || (had_orphaned_runs && !worker.has_orphaned_runs);
}

void scheduler::check_progress(const task_name& name, const reported_run& run, const task_ref& ref,
                               time_point now) {
    auto& pace = ref.state->measured_rate;
    pace.add_sample(run.percent, now);
    if (run.percent >= whole_percent || ref.step->long_running || ref.state->stopping) {
        pace.restart(now);
        return;
    }
    if (now - pace.unchanged_since() > stall_timeout(ref)) {
        handle_stalled_run(name, ref, now);
    }
}

// One member of a gang that stands still holds up all of them, so only a worker that nothing else
// speaks for is to blame; if that holds for several, each one is only doubted.
void scheduler::handle_stalled_run(const task_name& name, const task_ref& ref, time_point now) {
    std::set<worker_state*> blamed;
    for (auto& state : *ref.states) {
        const bool concerned = ref.step->gang || &state == ref.state;
        if (concerned && state.worker != nullptr &&
            !other_jobs_progress(*state.worker, name.step.job, now)) {
            blamed.insert(state.worker);
        }
    }
    for (auto* worker : blamed) {
        if (blamed.size() > 1) {
            worker->history.mark_degraded(now);
        } else {
            worker->speed.record_stall(now);
            worker->history.record_failure(name.step.job, now - ref.state->assigned_at, now);
        }
    }
    stop_run(name, ref,
             "stands still at " + std::to_string(ref.state->measured_rate.percent()) + "%");
}

// Whether runs of other jobs on the worker have moved lately.
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

duration scheduler::stall_timeout(const task_ref& ref) const {
    const auto& pace = ref.state->measured_rate;
    if (pace.has_measurement()) {
        return stall_base + from_seconds(stall_percent / pace.fastest());
    }
    return stall_base + (ref.step->gang ? gang_start_time : start_time) +
           from_seconds(to_seconds(ref.step->estimated) * start_share);
}

// Percent a second that the run should make where it is, or zero if nothing tells.
double scheduler::expected_rate(const task_ref& ref) const {
    const auto& pace = ref.state->measured_rate;
    if (!has_fast_placement(ref)) {
        return pace.fastest();
    }
    auto rate = std::max(pace.fastest(), sibling_rate(ref));
    const auto factor = estimate_errors_.upper_factor(ref.job->spec.queue);
    if (factor && ref.step->estimated > duration::zero()) {
        rate = std::max(rate, whole_percent / (to_seconds(ref.step->estimated) * *factor));
    }
    return rate;
}

// The middle one of the rates of the step's other runs; runs of a gang move as one.
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
    if (rates.size() < least_siblings) {
        return 0;
    }
    const auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
    std::nth_element(rates.begin(), middle, rates.end());
    return *middle;
}

// Whether the run is near its data and its gang in one rack, so that it is as fast as it can be.
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

// How fast a worker is, by those of its runs that have just been measured: the fastest one tells,
// as a run can be slow for reasons of its own, or because another one of its gang is.
void scheduler::update_worker_speed(worker_state& worker, time_point now) {
    double share = 0;
    bool measured = false;
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
            measured = true;
        }
    }
    if (measured) {
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

// Stops a run on a slow worker if it ends sooner when it begins again elsewhere.
void scheduler::move_from_slow_worker(const task_name& name, const task_ref& ref, time_point now) {
    const auto& pace = ref.state->measured_rate;
    const auto expected = expected_rate(ref);
    if (ref.state->moved || ref.state->stopping || expected <= 0 || !pace.has_measurement() ||
        ref.task->phase != task_phase::assigned || ref.step->long_running) {
        return;
    }
    const auto left = whole_percent - pace.percent();
    const auto slow_s =
        to_seconds(std::max(least_slow_time, ref.state->worker->speed.slow_duration(now)));
    const auto slow_progress = pace.current() * slow_s;
    const auto here =
        left <= slow_progress ? left / pace.current() : slow_s + (left - slow_progress) / expected;
    const auto elsewhere = (ref.step->checkpoints ? left : whole_percent) / expected;
    if (here < elsewhere * gain_factor + to_seconds(least_gain)) {
        return;
    }
    task_group group{
        .step = name.step, .spec = ref.step, .tasks = {name.index}, .on_host = {}, .avoided = {}};
    if (place(group, find_candidates(ref.job->spec.service, now), {})) {
        // Once: where it is slow again, its estimate is wrong.
        ref.state->moved = true;
        stop_run(name, ref, "its worker is slow");
    }
}

// Gives up the runs on other lives of a host than the one given.
void scheduler::mark_runs_lost(const worker_life& place, const std::string& why) {
    const auto found = runs_by_host_.find(place.host);
    if (found == runs_by_host_.end()) {
        return;
    }
    const auto names = found->second;
    for (const auto& name : names) {
        const auto ref = find(name);
        if (ref && ref->task->phase == task_phase::assigned && ref->task->place != place) {
            ++counts_.lost;
            add_decision_event("run-lost", name, ref->task->run, place.host, why);
            requeue_task(name, *ref, "");
        }
    }
}

// A worker whose lease has lapsed for certain runs nothing any more.
void scheduler::expire_silent_workers(time_point now) {
    for (auto& [host, worker] : workers_.all()) {
        const bool silent = !worker.responding || now > worker.last_heard + options_.silence_limit;
        if (!worker.expired && silent && now > worker.lease_expired_after) {
            worker.expired = true;
            worker.used = {};
            mark_runs_lost({.host = host, .worker = {}, .life = {}}, "the lease has lapsed");
        }
    }
}

worker_orders scheduler::orders_for(const worker_report& report) {
    const auto& instance = report.facts.instance;
    worker_orders orders{.worker = instance, .ends_stored = 0, .starts = {}, .stops = {}};
    if (const auto stored = stored_ends_.find(instance); stored != stored_ends_.end()) {
        orders.ends_stored = stored->second;
    }
    if (!report.lists_known) {
        return orders;
    }
    std::set<std::pair<task_name, run_number>> known;
    for (const auto& run : report.runs) {
        known.emplace(run.task, run.run);
    }
    std::set<std::pair<task_name, run_number>> over;
    for (const auto& end : report.ends) {
        over.emplace(end.task, end.run);
    }
    for (const auto& refusal : report.refusals) {
        over.emplace(refusal.task, refusal.run);
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
            if (!over.contains(id)) {
                orders.stops.push_back({.task = name, .run = ref->task->run});
            }
            continue;
        }
        wanted.insert(id);
        const bool stored = ref->state->stored_run == ref->task->run;
        if (stored && !known.contains(id) && !over.contains(id)) {
            orders.starts.push_back({.task = name,
                                     .run = ref->task->run,
                                     .payload = ref->job->spec.payload,
                                     .checkpoint = ref->task->checkpoint,
                                     .needs = ref->step->per_task});
        }
    }
    for (const auto& run : report.runs) {
        if (!wanted.contains({run.task, run.run})) {
            orders.stops.push_back({.task = run.task, .run = run.run});
        }
    }
    return orders;
}

}  // namespace baobabrack::workload
