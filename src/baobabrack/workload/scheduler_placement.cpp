// Placement of waiting groups: start now, wait, preempt, or accept slower hosts.
#include <algorithm>
#include <utility>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload/queue_order.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

void scheduler::place_groups(std::vector<waiting_group>& groups, const guarantee_uses& guarantees,
                             time_point now) {
    std::map<service_id, placement_pass> passes;
    for (auto& waiting : groups) {
        const auto& service = service_for(*waiting.job, *waiting.group.spec);
        auto found = passes.find(service);
        if (found == passes.end()) {
            found =
                passes
                    .emplace(service, placement_pass{.forecast = forecast_capacity(service, now),
                                                     .now = now,
                                                     .guarantees = &guarantees,
                                                     .victims = {}})
                    .first;
        }
        place_group(waiting, found->second);
    }
    report_waiting(groups, passes, now);
}

// Starts what fits on hosts where it runs at full speed. For the rest, decides whether to wait, to
// preempt other runs or to accept slower hosts; tasks outside a gang are decided one by one.
void scheduler::place_group(waiting_group& waiting, placement_pass& pass) {
    auto& group = waiting.group;
    if (delay_trial(waiting, pass)) {
        return;
    }
    const auto usable = pass.forecast.available_for(pass.now, expected_occupation(*group.spec));
    if (group.spec->gang) {
        if (const auto fast_placement = place(group, usable, fast_only)) {
            assign(waiting, *fast_placement, pass);
        } else {
            place_or_reserve(waiting, pass);
        }
        return;
    }
    if (group.on_trial) {
        const auto places = place_on_trial(group, usable);
        assign(waiting, places, pass);
        if (places.empty()) {
            group.tasks.resize(1);
            place_or_reserve(waiting, pass);
        }
        return;
    }
    assign(waiting, place_partial(group, usable, fast_only), pass);
    auto single = waiting;
    const bool urgent = waiting.job->spec.priority == 0;
    for (const auto index : waiting.group.tasks) {
        single.group.tasks = {index};
        single.group.tasks_on_host = waiting.group.tasks_on_host;
        // Capacity is freed for each task of an urgent step. For other steps one reservation is
        // enough, since all tasks of the step have the same needs.
        if (!place_or_reserve(single, pass) && !urgent) {
            return;
        }
        waiting.group.tasks_on_host = single.group.tasks_on_host;
    }
}

// Returns whether a guaranteed group has to start as soon as possible to be in time.
bool scheduler::is_guarantee_due(const waiting_group& waiting, time_point now) const {
    return waiting.entitled && now - waiting.job->added_at > options_.reclaim_timeout / 2;
}

// Returns whether a group that starts at `begin` meets its objective and the guarantee of its
// workspace. If so, preemption for it would only waste work.
bool scheduler::can_wait_until(const waiting_group& waiting, time_point begin,
                               time_point now) const {
    const auto& job = *waiting.job;
    const auto spare = objective_of(job.spec) - from_seconds(to_seconds(now - job.added_at)) -
                       critical_path_time(job.spec);
    const auto latest_guaranteed = job.added_at + options_.reclaim_timeout / 2;
    return begin - now < spare / 2 && (!waiting.entitled || begin < latest_guaranteed);
}

// Chooses the option with the earliest end: wait for fast hosts, preempt runs there, or start on
// slower hosts now.
bool scheduler::place_or_reserve(waiting_group& waiting, placement_pass& pass) {
    const auto& group = waiting.group;
    auto& forecast = pass.forecast;
    const auto now = pass.now;
    // A long-running task serves only while it runs, so it does not wait for a better host, nor
    // beside one that is reserved for a group that may begin later.
    const bool starts_anywhere = group.spec->long_running;
    const auto usable =
        starts_anywhere ? forecast.available() : forecast.available_for(now, group.spec->estimated);
    const bool urgent = waiting.job->spec.priority == 0;
    const bool guarantee_due = is_guarantee_due(waiting, now);
    const auto slow_placement = place(group, usable, {});
    if (slow_placement && (guarantee_due || starts_anywhere)) {
        assign(waiting, *slow_placement, pass);
        return true;
    }
    const auto fast_later = earliest_placement(group, forecast, now, fast_only);
    const bool in_time = fast_later && can_wait_until(waiting, fast_later->time, now);
    if (urgent && !in_time && preempt_for(waiting, pass, fast_only)) {
        return false;
    }
    if (slow_placement) {
        const auto slow_end = now + std::chrono::duration_cast<duration>(group.spec->estimated *
                                                                         options_.remote_penalty);
        if (!fast_later || slow_end <= fast_later->time + group.spec->estimated) {
            assign(waiting, *slow_placement, pass);
            return true;
        }
    }
    if (urgent && !in_time && !slow_placement && preempt_for(waiting, pass, {})) {
        return false;
    }
    if (fast_later) {
        forecast.reserve(group, *fast_later);
    } else if (const auto slow_later = earliest_placement(group, forecast, now, {})) {
        forecast.reserve(group, *slow_later);
    }
    return false;
}

void scheduler::assign(waiting_group& waiting, const placed_tasks& places, placement_pass& pass) {
    if (places.empty()) {
        return;
    }
    auto& group = waiting.group;
    // Runs of a gang share one run number and one checkpoint.
    run_number gang_run;
    std::string gang_checkpoint;
    for (const auto& placed : places) {
        const auto ref = find({.step = group.step, .index = placed.index});
        gang_run = std::max(gang_run, ref->task->run);
        gang_checkpoint = std::max(gang_checkpoint, ref->task->checkpoint);
    }
    for (const auto& placed : places) {
        const task_name name{.step = group.step, .index = placed.index};
        const auto ref = find(name);
        const auto& facts = *pass.forecast.available()[placed.host_index].facts;
        const auto last_run = group.spec->gang ? gang_run : ref->task->run;
        const run_number run{last_run.get() + 1};
        *ref->task = {.phase = task_phase::assigned,
                      .run = run,
                      .place = facts.instance,
                      .failures = ref->task->failures,
                      .checkpoint = group.spec->gang ? gang_checkpoint : ref->task->checkpoint,
                      .crashes = ref->task->crashes};
        *ref->state = {.stored_run = ref->state->stored_run,
                       .stopping = false,
                       .stopped_for = std::nullopt,
                       .restored = false,
                       .moved = ref->state->moved,
                       .preemption_count = ref->state->preemption_count,
                       .stall_count = ref->state->stall_count,
                       .assigned_at = pass.now,
                       .sent = false,
                       .begun = false,
                       .listed_since = {},
                       .listed_until = {},
                       .checkpoint_at = {},
                       .measured_rate = {}};
        ref->state->measured_rate.restart(pass.now);
        allocate_run(name, *ref);
        ++counts_.started;
        changed_hosts_.insert(facts.instance.host);
        if (group.spec->most_per_worker > 0) {
            ++group.tasks_on_host[facts.instance.host];
        }
        add_decision_event("run-assigned", name, run, facts.instance.host,
                           "priority " + std::to_string(waiting.job->spec.priority));
    }
    pass.forecast.allocate(group, places);
    pass.forecast.close_if_on_probation(places);
    if (group.on_trial) {
        pass.forecast.close(places);
        ++counts_.trials;
    }
    std::erase_if(group.tasks, [&](std::uint32_t index) {
        return std::any_of(places.begin(), places.end(),
                           [&](const placed_task& placed) { return placed.index == index; });
    });
    waiting.job->progress.phase = job_phase::active;
    waiting.job->dirty = true;
}

}  // namespace baobabrack::workload
