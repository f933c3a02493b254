// Trials of tasks that may have crashed workers.
#include <algorithm>
#include <utility>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

namespace {

// Trials close at most one host of this many.
constexpr std::size_t trial_host_divisor = 2;
// A trial that would have to wait for longer is left out.
constexpr duration max_trial_delay = std::chrono::seconds{2};

}  // namespace

// Makes a group of its own of the tasks of each step that need a trial. If there is one, the other
// tasks of the job wait: they may crash workers as well, and their work is lost if the job is given
// up. Long-running tasks do not wait, since each serves by itself, and so each gets its own trial.
void scheduler::separate_trials(std::vector<waiting_group>& groups) const {
    std::vector<waiting_group> trials;
    for (auto& waiting : groups) {
        const auto& occurrences = waiting.job->progress.occurrences;
        const auto occurrence = std::find_if(
            occurrences.begin(), occurrences.end(),
            [&](const auto& other) { return other.number == waiting.group.step.occurrence; });
        const auto& tasks = occurrence->steps[waiting.group.step.step];
        const auto needs_trial = [&](std::uint32_t index) {
            return tasks[index].crashes.trial > duration::zero();
        };
        auto& waiting_tasks = waiting.group.tasks;
        if (waiting.group.spec->gang) {
            if (std::any_of(waiting_tasks.begin(), waiting_tasks.end(), needs_trial)) {
                trials.push_back(waiting);
                waiting_tasks.clear();
            }
            continue;
        }
        auto trial = waiting;
        std::erase_if(trial.group.tasks, [&](std::uint32_t index) { return !needs_trial(index); });
        std::erase_if(waiting_tasks, needs_trial);
        const auto suspects = trial.group.tasks;
        if (!waiting.group.spec->long_running && !suspects.empty()) {
            trials.push_back(std::move(trial));
            continue;
        }
        for (const auto index : suspects) {
            trials.push_back(waiting);
            trials.back().group.tasks = {index};
        }
    }
    if (trials.empty()) {
        return;
    }
    for (auto& trial : trials) {
        trial.group.on_trial = true;
    }
    if (!has_long_running_step(trials.front().job->spec)) {
        groups = {std::move(trials.front())};
        return;
    }
    std::erase_if(groups, [](const waiting_group& waiting) { return waiting.group.tasks.empty(); });
    groups.insert(groups.end(), trials.begin(), trials.end());
}

// Limits the share of the hosts that are closed by trials.
bool scheduler::may_begin_trial(const placement_pass& pass) {
    const auto& hosts = pass.forecast.available();
    const auto closed = static_cast<std::size_t>(
        std::count_if(hosts.begin(), hosts.end(),
                      [](const candidate& host) { return host.closed && !host.on_probation; }));
    return closed < std::max<std::size_t>(1, hosts.size() / trial_host_divisor);
}

// Delays the trial of a group if there are too many. Once it has been delayed for too long, the
// group starts without one. A long-running task serves only while it runs, so it does not wait.
//
// Returns whether the trial is delayed.
bool scheduler::delay_trial(waiting_group& waiting, const placement_pass& pass) {
    auto& group = waiting.group;
    if (!group.on_trial || may_begin_trial(pass)) {
        return false;
    }
    bool too_long = group.spec->long_running;
    for (const auto index : group.tasks) {
        auto& since = find({.step = group.step, .index = index})->state->trial_delayed_since;
        since = since == time_point{} ? pass.now : since;
        too_long = too_long || pass.now - since >= max_trial_delay;
    }
    if (!too_long) {
        return true;
    }
    for (const auto index : group.tasks) {
        find({.step = group.step, .index = index})->task->crashes.trial = {};
    }
    group.on_trial = false;
    return false;
}

// Starts the tasks of a trial on one host: if one of them crashes its worker, the job is given up
// whichever it was.
placed_tasks scheduler::place_on_trial(const task_group& group, const candidates& usable) {
    auto places = place_partial(group, usable, fast_only);
    if (places.empty()) {
        places = place_partial(group, usable, {});
    }
    std::erase_if(places, [host = places.empty() ? 0 : places.front().host_index](
                              const placed_task& placed) { return placed.host_index != host; });
    return places;
}

// Ends the trial of a run that has lasted long enough.
void scheduler::update_trial(const task_name& name, const task_ref& ref) {
    auto& record = ref.task->crashes;
    if (record == crash_record{}) {
        return;
    }
    const auto run_time = confirmed_run_time(ref);
    if (record.trial > duration::zero() && run_time >= record.trial) {
        record.trial = {};
        trials_.erase(name);
        ref.job->dirty = true;
        capacity_changed_ = true;
        ++counts_.trials_passed;
        add_decision_event("trial-passed", name, ref.task->run, ref.task->place.host,
                           "the run has lasted for " + to_ms_text(run_time));
    }
    if (outlives_record(record, run_time, ref.step->long_running)) {
        record = {};
        ref.job->dirty = true;
    }
}

bool scheduler::has_trial(const job_id& job) const {
    const auto first = trials_.lower_bound(task_name{.step = {.job = job}});
    return first != trials_.end() && first->step.job == job;
}

std::set<host_id> scheduler::trial_hosts() {
    std::set<host_id> hosts;
    for (const auto& name : trials_) {
        if (const auto ref = find(name)) {
            hosts.insert(ref->task->place.host);
        }
    }
    return hosts;
}

}  // namespace baobabrack::workload
