// What guards report, and the orders that answer them.
#include <algorithm>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

namespace {

// A run whose progress does not move for this long, and a share of its estimate more, stands
// still: at a sixth of the usual speed it would have moved by a percent.
constexpr duration stall_base = std::chrono::milliseconds{1500};
constexpr double stall_share = 0.06;
// A run may need this much longer before it moves at all, a gang until all its runs are there.
constexpr duration start_time = std::chrono::milliseconds{700};
constexpr duration gang_start_time = std::chrono::milliseconds{1500};
// A run on a slow worker is moved if that is expected to save this much time, and half of it.
constexpr duration least_gain = std::chrono::milliseconds{600};
constexpr double gain_factor = 1.5;
constexpr std::uint32_t whole_percent = 100;

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
    worker.facts = report.facts;
    worker.heard = now;
    worker.answers = report.lists_known && !report.lease_suspended;
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

void scheduler::apply_end(const run_end& end, const worker_life& place, time_point now) {
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
        release(end.task, *ref);
        ref->task->phase = task_phase::done;
        ref->extra->stopping = false;
        ref->job->dirty = true;
        return;
    }
    if (end.how == end_kind::failed) {
        ++counts_.failed;
        ++ref->task->failures;
        record.failed(end.task.step.job, now);
    }
    end_run(end.task, *ref, end.checkpoint);
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
    add_note("start-refused", refusal.task, refusal.run, place.host, refusal.reason);
    if (refusal.reason == "unavailable" || refusal.reason == "no_room") {
        workers_.at(place.host).record.failed(refusal.task.step.job, now);
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
    worker.has_strays = false;
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
            watch_progress(run.task, run, *ref, now);
        } else {
            ref->extra->percent_since = now;
        }
    }
}

void scheduler::watch_progress(const task_name& name, const run_report& run, const task_ref& ref,
                               time_point now) {
    auto& extra = *ref.extra;
    auto& worker = workers_.at(ref.task->place.host);
    if (run.percent >= whole_percent || ref.step->long_running || extra.stopping) {
        extra.percent = run.percent;
        extra.percent_since = now;
        return;
    }
    const auto waited = now - extra.percent_since;
    if (run.percent != extra.percent) {
        const bool moved_before = extra.percent > 0;
        const auto expected = ref.step->estimated * (run.percent - extra.percent) / whole_percent;
        extra.percent = run.percent;
        extra.percent_since = now;
        if (moved_before && waited > duration::zero() && in_fast_place(ref)) {
            worker.speed.sample(to_seconds(expected) / to_seconds(waited), now);
        }
    } else if (waited > patience(ref)) {
        worker.speed.stalled(now);
        worker.record.failed(name.step.job, now);
        stop(name, ref, "stands still at " + std::to_string(run.percent) + "%");
        return;
    }
    move_from_slow(name, ref, now);
}

duration scheduler::patience(const task_ref& ref) const {
    auto patience =
        stall_base + std::chrono::duration_cast<duration>(ref.step->estimated * stall_share);
    if (ref.extra->percent == 0) {
        patience += ref.step->gang ? gang_start_time : start_time;
    }
    return patience;
}

// Whether the run is near its data and its gang in one rack, so that it should keep to the
// estimate.
bool scheduler::in_fast_place(const task_ref& ref) const {
    const auto rack_of = [this](const task_progress& task) {
        const auto* worker = workers_.find(task.place.host);
        return worker == nullptr ? rack_id{} : worker->facts.rack;
    };
    const auto rack = rack_of(*ref.task);
    if (!ref.step->data_rack.get().empty() && ref.step->data_rack != rack) {
        return false;
    }
    return !ref.step->gang || !ref.step->rack_local ||
           std::all_of(ref.tasks->begin(), ref.tasks->end(),
                       [&](const task_progress& task) { return rack_of(task) == rack; });
}

// Stops a run on a slow worker if it ends sooner when it begins again elsewhere.
void scheduler::move_from_slow(const task_name& name, const task_ref& ref, time_point now) {
    const auto& worker = workers_.at(ref.task->place.host);
    if (!worker.speed.slow(now) || ref.extra->percent == 0 || ref.extra->moved) {
        return;
    }
    const auto left_share = 1.0 - static_cast<double>(ref.extra->percent) / whole_percent;
    const auto whole = to_seconds(ref.step->estimated);
    const auto here = whole * left_share / std::max(worker.speed.value(now), 0.05);
    const auto elsewhere = ref.step->checkpoints ? whole * left_share : whole;
    if (here < elsewhere * gain_factor + to_seconds(least_gain)) {
        return;
    }
    const auto sound = candidates_of(ref.job->spec.service, now);
    const task_group group{.step = name.step, .spec = ref.step, .tasks = {name.index}};
    if (ref.job->spec.priority == 0 || place(group, sound, {})) {
        // Once: where it is slow again, its estimate is wrong.
        ref.extra->moved = true;
        stop(name, ref, "its worker is slow");
    }
}

// Gives up the runs on other lives of a host than the one given.
void scheduler::lose_runs(const worker_life& place, const std::string& why) {
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
            lose_runs({.host = host, .worker = {}, .life = {}}, "the lease has lapsed");
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
