// Crashes of workers, and trials of the tasks that may have caused them.
#include <algorithm>
#include <utility>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

namespace {

// Lists are renewed every 500 ms at least, so those of workers that crash at the same moment differ
// by at most this.
constexpr duration simultaneous_crash_window = std::chrono::seconds{1};
// After a loss of all power, leaders hear of all workers within this time.
constexpr duration power_loss_window = std::chrono::seconds{5};
// Workers that lost their power together begin again within this time of each other.
constexpr duration simultaneous_begin_window = std::chrono::seconds{2};
// For this long after an unexplained crash, further ones are expected.
constexpr duration other_causes_window = std::chrono::seconds{60};

// A loss of power may spare one worker of this many.
constexpr std::size_t spared_worker_divisor = 8;

std::string_view to_string(crash_scope scope) {
    switch (scope) {
        case crash_scope::single:
            return "no other worker crashed without a suspect";
        case crash_scope::several:
            return "other workers crashed as well";
    }
    return "unknown";
}

}  // namespace

std::vector<scheduler::task_ref> scheduler::runs_of_other_instances(const worker_instance& place) {
    std::vector<task_ref> runs;
    const auto found = runs_by_host_.find(place.host);
    if (found == runs_by_host_.end()) {
        return runs;
    }
    for (const auto& name : found->second) {
        const auto ref = find(name);
        if (ref && ref->task->phase == task_phase::assigned && ref->task->place != place) {
            runs.push_back(*ref);
        }
    }
    return runs;
}

// Returns the time for which the run is known to have lasted. The runs of a gang count from the
// time at which all of them were listed.
duration scheduler::confirmed_run_time(const task_ref& ref) const {
    auto since = ref.state->listed_since;
    if (ref.step->gang) {
        for (const auto& state : *ref.states) {
            since = state.listed_since == time_point{} ? time_point::max()
                                                       : std::max(since, state.listed_since);
        }
    }
    const bool listed = ref.state->listed_since != time_point{};
    return listed && since < ref.state->listed_until ? ref.state->listed_until - since
                                                     : duration::zero();
}

// Returns whether the host has a run on trial, or one that may be crashing its worker.
bool scheduler::has_suspicious_runs(const host_id& host) {
    const auto runs = runs_by_host_.find(host);
    return runs != runs_by_host_.end() &&
           std::any_of(runs->second.begin(), runs->second.end(), [&](const task_name& name) {
               const auto ref = find(name);
               return ref && (trials_.contains(name) || !is_settled(confirmed_run_time(*ref)));
           });
}

// Returns whether the worker did not return lists when its guard last reported, or its guard is
// silent as well.
bool scheduler::is_silent(const worker_state& worker, time_point now) const {
    return worker.last_heard - worker.lists_at > max_list_age ||
           now > worker.last_heard + options_.silence_limit;
}

// Returns whether the worker was running while another one was down.
bool scheduler::survived(const worker_state& worker, const outage& other) {
    const bool observed = other.last_lists != time_point{} &&
                          worker.first_heard <= other.last_lists &&
                          worker.lists_at > other.last_lists + max_list_age;
    return worker.last_heard != time_point{} &&
           (observed || worker.began + simultaneous_begin_window < other.next_began);
}

// Returns whether nearly all workers that this leader has heard of were down at the same time.
bool scheduler::is_power_lost(const outage& crash) const {
    std::size_t others = 0;
    std::size_t survivors = 0;
    for (const auto& [host, other] : workers_.all()) {
        if (host != crash.host && other.last_heard != time_point{}) {
            ++others;
            survivors += survived(other, crash) ? 1U : 0U;
        }
    }
    return others > 0 && survivors <= others / spared_worker_divisor;
}

// Compares the crash with what is known of the other workers at that time. Task by task, two tasks
// may crash their workers at once; a worker without such a task has another cause.
crash_scope scheduler::scope_of_crash(const worker_state& worker, time_point now) {
    const bool observed = worker.lists_at != time_point{};
    const auto is_near = [&](time_point lists_at) {
        return lists_at != time_point{} && lists_at < worker.lists_at + simultaneous_crash_window &&
               worker.lists_at < lists_at + simultaneous_crash_window;
    };
    bool unexplained = false;
    bool crashed_recently = false;
    for (const auto& [host, other] : workers_.all()) {
        if (&other == &worker) {
            continue;
        }
        const bool crashed = other.crash_noticed_at != time_point{};
        const bool crashed_near = crashed && is_near(other.crashed_lists_at);
        const bool silent_near = is_near(other.lists_at) && is_silent(other, now);
        unexplained = unexplained || (crashed_near && !other.crash_had_suspects) ||
                      (silent_near && !has_suspicious_runs(host));
        crashed_recently =
            crashed_recently || (crashed && now < other.crash_noticed_at + power_loss_window);
    }
    const bool several = observed ? unexplained : crashed_recently;
    return several ? crash_scope::several : crash_scope::single;
}

// The worker's previous instance has crashed unless it was shutting down.
void scheduler::handle_new_instance(worker_state& worker, const worker_report& report,
                                    time_point now) {
    const auto& instance = report.facts.instance;
    const bool first_contact = worker.last_heard == time_point{};
    crash_sign sign{.text = "a new instance has announced itself",
                    .current = instance,
                    .began = now - report.worker_age,
                    .starts_known = std::nullopt};
    if (report.replaced && (first_contact || worker.facts.instance == report.replaced->instance)) {
        worker.lists_at = now - report.replaced->lists_age;
        record_sent_runs(*report.replaced);
        sign.starts_known = report.replaced->instance;
    }
    adopt_runs(report);
    const bool has_predecessor = !first_contact || worker.lists_at != time_point{} ||
                                 !runs_of_other_instances(instance).empty();
    if (has_predecessor && !worker.facts.draining) {
        handle_worker_crash(worker, sign, now);
    }
    mark_runs_lost(instance, lost_work_cause::worker_crashed,
                   "a newer worker instance runs on the host");
}

// A start that was sent to a worker's previous instance may have been carried out by the new one,
// since calls name the worker's id only. Such a run is not lost.
void scheduler::adopt_runs(const worker_report& report) {
    for (const auto& run : report.runs) {
        if (run.listed) {
            adopt_run(run.task, run.run, report.facts.instance);
        }
    }
    for (const auto& end : report.ends) {
        adopt_run(end.task, end.run, report.facts.instance);
    }
}

void scheduler::adopt_run(const task_name& task, run_number run, const worker_instance& place) {
    const auto ref = find(task);
    if (!ref || ref->task->phase != task_phase::assigned || ref->task->run != run ||
        ref->task->place.host != place.host || ref->task->place == place) {
        return;
    }
    add_decision_event("run-adopted", task, run, place.host,
                       "worker " + place.worker.get() + " carried it out in a newer instance");
    ref->task->place = place;
    ref->state->sent = true;
    mark_begun(*ref);
    ref->job->dirty = true;
}

void scheduler::record_sent_runs(const replaced_worker& replaced) {
    for (const auto& run : replaced.runs) {
        const auto ref = find(run.task);
        if (ref && ref->task->phase == task_phase::assigned && ref->task->run == run.run &&
            ref->task->place == replaced.instance) {
            ref->state->sent = true;
            if (run.begun) {
                mark_begun(*ref);
            }
        }
    }
}

void scheduler::handle_worker_crash(worker_state& worker, const crash_sign& sign, time_point now) {
    const auto& host = sign.current.host;
    const auto lost = runs_of_other_instances(sign.current);
    std::vector<crashed_run> runs;
    std::string text;
    for (const auto& ref : lost) {
        const bool listed = ref.state->listed_since != time_point{};
        runs.push_back({.on_trial = trials_.contains(name_of(ref)),
                        .run_time = confirmed_run_time(ref),
                        .begun = ref.state->begun,
                        .observed = listed || !ref.state->restored,
                        .long_running = ref.step->long_running});
        text += (text.empty() ? "" : ", ") + to_text(name_of(ref)) + " after " +
                to_ms_text(runs.back().run_time) + (runs.back().begun ? "" : ", not confirmed");
    }
    worker.crash_had_suspects = has_suspicious_runs(host);
    crash_circumstances crash{.host = host, .scope = scope_of_crash(worker, now)};
    worker.crashed_lists_at = worker.lists_at;
    worker.crash_noticed_at = now;
    if (!worker.crash_had_suspects || crash.scope == crash_scope::several) {
        last_unexplained_crash_ = now;
    }
    crash.other_causes = last_unexplained_crash_ != time_point{} &&
                         now < last_unexplained_crash_ + other_causes_window;
    if (lost.empty()) {
        return;
    }
    ++counts_.worker_crashes;
    add_decision_event("worker-crashed", {}, {}, host,
                       sign.text + "; worker " + worker.facts.instance.worker.get() + ", " +
                           std::string{to_string(crash.scope)} + ", runs: " + text);
    const outage when{
        .host = host, .last_lists = worker.crashed_lists_at, .next_began = sign.began};
    const auto suspects = find_suspects(runs, crash);
    for (std::size_t index = 0; index < runs.size(); ++index) {
        const auto& ref = lost[index];
        note_lost_run(
            ref, {.task = name_of(ref),
                  .run = runs[index],
                  .suspect = std::find(suspects.begin(), suspects.end(), index) != suspects.end(),
                  .crash = crash,
                  .when = when,
                  .never_sent = sign.starts_known == ref.task->place && !ref.state->sent});
    }
}

// A run whose assignment has not been stored cannot have been started.
void scheduler::note_lost_run(const task_ref& ref, lost_run lost) {
    if (ref.state->stored_run != ref.task->run) {
        return;
    }
    note_crash(ref.task->crashes);
    ref.job->dirty = true;
    lost_runs_.push_back(std::move(lost));
}

// Counts the crashes under each task unless they have another cause. A loss of all power shows only
// once the other workers have reported.
void scheduler::judge_lost_runs(time_point now) {
    for (const auto& lost : std::exchange(lost_runs_, {})) {
        const auto ref = find(lost.task);
        if (!ref) {
            continue;
        }
        const auto verdict = judge_lost_run(*ref, lost, now);
        const auto& record = ref->task->crashes;
        ref->job->dirty = true;
        ref->job->needs_update = true;
        add_decision_event("run-crashed", lost.task, ref->task->run, lost.crash.host,
                           verdict + "; crashes " + std::to_string(record.crashes) + ", early " +
                               std::to_string(record.early_crashes) + ", excused " +
                               std::to_string(record.excused_crashes) + ", in trials " +
                               std::to_string(record.trial_crashes) + ", repeated " +
                               std::to_string(record.repeated_crashes) + ", next trial " +
                               to_ms_text(record.trial));
    }
}

// Returns what was decided, for the log.
std::string scheduler::judge_lost_run(const task_ref& ref, const lost_run& lost, time_point now) {
    auto& record = ref.task->crashes;
    if (lost.never_sent) {
        forget_crash(record);
        return "not counted, the start was not sent";
    }
    if (is_power_lost(lost.when)) {
        return "excused, nearly all workers were down";
    }
    const bool younger_suspected =
        lost.crash.scope == crash_scope::single && !lost.suspect && is_settled(lost.run.run_time);
    if (younger_suspected && excuse_crash(record, lost.run, lost.crash)) {
        return "excused, younger runs on the worker are suspected";
    }
    count_crash(record, lost.run, lost.suspect, lost.crash);
    if (lost.suspect || record.trial > duration::zero()) {
        ref.job->quick_failures[lost.crash.host] = now;
    }
    return younger_suspected ? "counted, not the first crash under the task" : "counted";
}

}  // namespace baobabrack::workload
