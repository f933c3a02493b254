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

void scheduler::take(const worker_report& report, time_point now) {
    const auto& life = report.facts.life;
    auto& worker = workers_.at(life.host);
    if (worker.facts.life != life) {
        // Only a life that has answered its guard is surely the one that runs now.
        if (!report.lists_known && !runs_on_[life.host].empty()) {
            return;
        }
        lose_runs(life, "a newer worker runs on the host");
        ends_taken_.erase(worker.facts.life);
        ends_stored_.erase(worker.facts.life);
        worker.facts.life = life;
        worker.used = {};
        worker.record = {};
        worker.speed = {};
        worker.gone = false;
        worker.suspended = false;
    }
    const bool answers = report.lists_known && !report.lease_suspended;
    room_changed_ = room_changed_ || worker.answers != answers ||
                    worker.facts.draining != report.facts.draining;
    worker.facts = report.facts;
    worker.heard = now;
    worker.answers = answers;
    if (!report.lease_suspended) {
        worker.lapsed_after = std::max(worker.lapsed_after, now + lapse_bound(options_.lease));
    } else if (worker.suspended) {
        // Nobody has extended it since the first such report.
        worker.lapsed_after = std::min(worker.lapsed_after, now + lapse_bound(report.lease_left));
    } else {
        worker.lapsed_after = now + lapse_bound(report.lease_left);
    }
    worker.suspended = report.lease_suspended;
    if (!report.lists_known) {
        return;
    }
    worker.gone = worker.gone && report.lease_suspended;
    for (const auto& end : report.ends) {
        auto& taken = ends_taken_[life];
        if (end.number > taken) {
            taken = end.number;
            ends_dirty_ = true;
            apply_end(end, life, now);
        }
    }
    for (const auto& refusal : report.refusals) {
        apply_refusal(refusal, life, now);
    }
    apply_runs(report, now);
}

void scheduler::apply_end(const run_end& end, const worker_instance& place, time_point now) {
    const auto ref = find(end.task);
    const bool current = ref && ref->task->phase == task_phase::assigned &&
                         ref->task->run == end.run && ref->task->place == place;
    add_note("run-ended", end.task, end.run, place.host,
             std::string{to_string(end.how)} + (current ? "" : ", of an earlier run"));
    if (!current) {
        return;
    }
    auto& record = workers_.at(place.host).record;
    if (end.how == end_kind::done) {
        ++counts_.done;
        record.succeeded();
        learn_from(*ref, now);
        release(end.task, *ref);
        ref->task->phase = task_phase::done;
        ref->extra->stopping = false;
        ref->job->dirty = true;
        return;
    }
    if (end.how == end_kind::failed) {
        ++counts_.failed;
        ++ref->task->failures;
        const auto after = now - ref->extra->assigned;
        record.failed(end.task.step.job, after, now);
        if (run_record::is_quick(after)) {
            ref->job->failed_on[place.host] = now;
        }
    }
    end_run(end.task, *ref, end.checkpoint);
}

// A run that began anew near its data on a sound worker tells what its queue's estimates are worth.
void scheduler::learn_from(const task_ref& ref, time_point now) {
    const bool whole = ref.task->checkpoint.empty() || !ref.step->checkpoints;
    const bool first = ref.index == 0 || !ref.step->gang;
    if (whole && first && in_fast_place(ref) && !ref.extra->worker->speed.slow(now)) {
        estimate_errors_.add(ref.job->spec.queue, ref.step->estimated, now - ref.extra->assigned);
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
    add_note("start-refused", refusal.task, refusal.run, place.host, refusal.reason);
    if (refusal.reason == "unavailable" || refusal.reason == "no_room") {
        workers_.at(place.host)
            .record.failed(refusal.task.step.job, now - ref->extra->assigned, now);
    }
    end_run(refusal.task, *ref, "");
}

// The worker's clock may be slow by a fiftieth, and so may its guard's.
duration scheduler::lapse_bound(duration lease) const {
    return lease + lease / 25 + options_.lease_slack;
}

// Takes checkpoints and progress from the runs that are listed.
void scheduler::apply_runs(const worker_report& report, time_point now) {
    auto& worker = workers_.at(report.facts.life.host);
    const bool had_strays = std::exchange(worker.has_strays, false);
    for (const auto& run : report.runs) {
        const auto ref = find(run.task);
        const bool wanted = ref && ref->task->phase == task_phase::assigned &&
                            ref->task->run == run.run && ref->task->place == report.facts.life;
        if (!wanted) {
            worker.has_strays = true;
            touched_.insert(report.facts.life.host);
            continue;
        }
        if (!run.checkpoint.empty() && ref->step->checkpoints &&
            ref->task->checkpoint != run.checkpoint) {
            ref->task->checkpoint = run.checkpoint;
            ref->job->saved = true;
        }
        if (worker.answers && report.lists_age < fresh_lists) {
            watch_progress(run.task, run, *ref, now - report.lists_age);
        } else {
            ref->extra->pace.restart(now);
        }
    }
    watch_speed(worker, now);
    room_changed_ = room_changed_ || (had_strays && !worker.has_strays);
}

void scheduler::watch_progress(const task_name& name, const run_report& run, const task_ref& ref,
                               time_point now) {
    auto& pace = ref.extra->pace;
    pace.sample(run.percent, now);
    if (run.percent >= whole_percent || ref.step->long_running || ref.extra->stopping) {
        pace.restart(now);
        return;
    }
    if (now - pace.unchanged_since() > patience(ref)) {
        take_for_stalled(name, ref, now);
    }
}

// One member of a gang that stands still holds up all of them, so only a worker that nothing else
// speaks for is to blame; if that holds for several, each one is only doubted.
void scheduler::take_for_stalled(const task_name& name, const task_ref& ref, time_point now) {
    std::set<worker_state*> blamed;
    for (auto& extra : *ref.extras) {
        const bool concerned = ref.step->gang || &extra == ref.extra;
        if (concerned && extra.worker != nullptr &&
            !others_move(*extra.worker, name.step.job, now)) {
            blamed.insert(extra.worker);
        }
    }
    for (auto* worker : blamed) {
        if (blamed.size() > 1) {
            worker->record.doubted(now);
        } else {
            worker->speed.stalled(now);
            worker->record.failed(name.step.job, now - ref.extra->assigned, now);
        }
    }
    stop(name, ref, "stands still at " + std::to_string(ref.extra->pace.percent()) + "%");
}

// Whether runs of other jobs on the worker have moved lately.
bool scheduler::others_move(const worker_state& worker, const job_id& job, time_point now) {
    for (const auto& name : runs_on_[worker.facts.life.host]) {
        if (name.step.job == job) {
            continue;
        }
        const auto ref = find(name);
        if (ref && ref->extra->pace.known() &&
            now - ref->extra->pace.unchanged_since() < stall_base) {
            return true;
        }
    }
    return false;
}

duration scheduler::patience(const task_ref& ref) const {
    const auto& pace = ref.extra->pace;
    if (pace.known()) {
        return stall_base + from_seconds(stall_percent / pace.best());
    }
    return stall_base + (ref.step->gang ? gang_start_time : start_time) +
           from_seconds(to_seconds(ref.step->estimated) * start_share);
}

// Percent a second that the run should make where it is, or zero if nothing tells.
double scheduler::expected_rate(const task_ref& ref) const {
    const auto& pace = ref.extra->pace;
    if (!in_fast_place(ref)) {
        return pace.best();
    }
    auto rate = std::max(pace.best(), sibling_rate(ref));
    const auto factor = estimate_errors_.longest_factor(ref.job->spec.queue);
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
    for (const auto& extra : *ref.extras) {
        if (&extra != ref.extra && extra.worker != ref.extra->worker && extra.pace.known()) {
            rates.push_back(extra.pace.best());
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
bool scheduler::in_fast_place(const task_ref& ref) const {
    const auto rack_of = [](const task_extra& extra) {
        return extra.worker == nullptr ? rack_id{} : extra.worker->facts.rack;
    };
    const auto rack = rack_of(*ref.extra);
    if (!ref.step->data_rack.get().empty() && ref.step->data_rack != rack) {
        return false;
    }
    return !ref.step->gang || !ref.step->rack_local ||
           std::all_of(ref.extras->begin(), ref.extras->end(),
                       [&](const task_extra& extra) { return rack_of(extra) == rack; });
}

// How fast a worker is, by those of its runs that have just been measured: the fastest one tells,
// as a run can be slow for reasons of its own, or because another one of its gang is.
void scheduler::watch_speed(worker_state& worker, time_point now) {
    double share = 0;
    bool measured = false;
    bool shared = false;
    for (const auto& name : runs_on_[worker.facts.life.host]) {
        const auto ref = find(name);
        if (!ref || !ref->extra->pace.is_fresh() || ref->extra->stopping) {
            continue;
        }
        const auto expected = expected_rate(*ref);
        if (expected > 0 && ref->extra->pace.current() / expected >= share) {
            share = ref->extra->pace.current() / expected;
            shared = ref->step->gang && ref->step->tasks > 1;
            measured = true;
        }
    }
    if (measured) {
        worker.speed.sample(share, shared, now);
    }
    if (worker.speed.slow(now)) {
        const auto names = runs_on_[worker.facts.life.host];
        for (const auto& name : names) {
            if (const auto ref = find(name)) {
                move_from_slow(name, *ref, now);
            }
        }
    }
}

// Stops a run on a slow worker if it ends sooner when it begins again elsewhere.
void scheduler::move_from_slow(const task_name& name, const task_ref& ref, time_point now) {
    const auto& pace = ref.extra->pace;
    const auto expected = expected_rate(ref);
    if (ref.extra->moved || ref.extra->stopping || expected <= 0 || !pace.known() ||
        ref.task->phase != task_phase::assigned || ref.step->long_running) {
        return;
    }
    const auto left = whole_percent - pace.percent();
    const auto slow_s =
        to_seconds(std::max(least_slow_time, ref.extra->worker->speed.slow_for(now)));
    const auto slow_progress = pace.current() * slow_s;
    const auto here =
        left <= slow_progress ? left / pace.current() : slow_s + (left - slow_progress) / expected;
    const auto elsewhere = (ref.step->checkpoints ? left : whole_percent) / expected;
    if (here < elsewhere * gain_factor + to_seconds(least_gain)) {
        return;
    }
    task_group group{.step = name.step,
                     .spec = ref.step,
                     .tasks = {name.index},
                     .tasks_on_host = {},
                     .excluded_hosts = {}};
    if (place(group, candidates_of(ref.job->spec.service, now), {})) {
        // Once: where it is slow again, its estimate is wrong.
        ref.extra->moved = true;
        stop(name, ref, "its worker is slow");
    }
}

// Gives up the runs on other lives of a host than the one given.
void scheduler::lose_runs(const worker_instance& place, const std::string& why) {
    const auto found = runs_on_.find(place.host);
    if (found == runs_on_.end()) {
        return;
    }
    const auto names = found->second;
    for (const auto& name : names) {
        const auto ref = find(name);
        if (ref && ref->task->phase == task_phase::assigned && ref->task->place != place) {
            ++counts_.lost;
            add_note("run-lost", name, ref->task->run, place.host, why);
            end_run(name, *ref, "");
        }
    }
}

// A worker whose lease has lapsed for certain runs nothing any more.
void scheduler::expire_silent(time_point now) {
    for (auto& [host, worker] : workers_.all()) {
        const bool silent = !worker.answers || now > worker.heard + options_.silence_limit;
        if (!worker.gone && silent && now > worker.lapsed_after) {
            worker.gone = true;
            worker.used = {};
            lose_runs({.host = host, .worker = {}, .version = {}}, "the lease has lapsed");
        }
    }
}

worker_orders scheduler::orders_for(const worker_report& report) {
    const auto& life = report.facts.life;
    worker_orders orders{.worker = life, .ends_stored = 0, .starts = {}, .stops = {}};
    if (const auto stored = ends_stored_.find(life); stored != ends_stored_.end()) {
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
    const auto runs = runs_on_.find(life.host);
    for (const auto& name : runs == runs_on_.end() ? std::set<task_name>{} : runs->second) {
        const auto ref = find(name);
        if (!ref || ref->task->phase != task_phase::assigned || ref->task->place != life) {
            continue;
        }
        const std::pair id{name, ref->task->run};
        if (ref->extra->stopping) {
            wanted.insert(id);
            if (!over.contains(id)) {
                orders.stops.push_back({.task = name, .run = ref->task->run});
            }
            continue;
        }
        wanted.insert(id);
        const bool stored = ref->extra->stored_run == ref->task->run;
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
