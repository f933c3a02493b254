// Job life cycle and placement of waiting tasks.
#include <algorithm>
#include <cmath>
#include <tuple>
#include <utility>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Allowance for clock differences between hosts: an occurrence starts this long after its due time.
constexpr milliseconds due_margin{60};
// Jobs whose age exceeds this multiple of their objective have no value any more.
constexpr int max_lateness_factor = 3;
// Base ranks of groups that are past their objective and of groups without value.
constexpr double late_rank = 1e6;
constexpr double no_value_rank = 2e6;
// Placement runs at least this often, since time alone can make a group placeable: a run exceeds
// its estimate, or a worker enters probation.
constexpr duration placement_interval = milliseconds{250};
// How long a job avoids a host where its runs have failed. It is longer than it takes to tell a
// faulty worker from a faulty task.
constexpr duration exclusion_time = std::chrono::seconds{8};

double remaining_work(const job_spec& spec, const job_progress& progress) {
    double work = 0;
    for (const auto& occurrence : progress.occurrences) {
        for (std::size_t at = 0; at < occurrence.steps.size(); ++at) {
            const auto& step = spec.steps[at];
            const auto left = std::count_if(
                occurrence.steps[at].begin(), occurrence.steps[at].end(),
                [](const task_progress& task) { return task.phase != task_phase::done; });
            work += static_cast<double>(left) * work_per_second(step.per_task) *
                    to_seconds(step.estimated);
        }
    }
    return work;
}

run_number latest_run(const std::vector<task_progress>& tasks) {
    run_number latest;
    for (const auto& task : tasks) {
        latest = std::max(latest, task.run);
    }
    return latest;
}

// The completion time that the job's queue promises.
duration objective_of(const job_spec& spec) {
    return from_seconds(to_seconds(critical_path_time(spec)) * spec.slack_factor) +
           spec.target_completion;
}

// Orders waiting jobs of one priority: first the jobs that can still meet their objective, by
// remaining work; then late jobs, which still earn partial value; then jobs without value. Under
// overload, shortest work first lets most jobs meet their objective, while first come, first served
// makes all of them late.
double rank_of(const job_spec& spec, const job_progress& progress, wall_time wall_now) {
    const auto work = std::min(remaining_work(spec, progress), late_rank / 2);
    const auto objective = objective_of(spec);
    const duration age = wall_now - spec.submitted;
    if (age > objective * max_lateness_factor) {
        return no_value_rank + work;
    }
    return age > objective ? late_rank + work : work;
}

}  // namespace

void scheduler::decide(const workload_config* config, time_point now, wall_time wall_now) {
    expire_silent_workers(now);
    report_health(now);
    if (config != nullptr) {
        judge_lost_runs(now);
    }
    update_jobs(wall_now);
    if (config == nullptr || !placement_due(*config, now)) {
        return;
    }
    correct_run_times();
    update_services(*config);
    const auto guarantees = measure_guarantees(*config);
    auto groups = collect_waiting_groups(guarantees, now, wall_now);
    place_groups(groups, guarantees, now);
}

bool scheduler::placement_due(const workload_config& config, time_point now) {
    if (!capacity_changed_ && config.version == last_placement_config_ &&
        now - last_placement_ < placement_interval) {
        return false;
    }
    capacity_changed_ = false;
    last_placement_config_ = config.version;
    last_placement_ = now;
    return true;
}

void scheduler::correct_run_times() {
    for (auto& [id, job] : jobs_) {
        for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
            job.spec.steps[step].estimated =
                run_times_.expected(job.spec.queue, job.declared_run_times[step]);
        }
    }
}

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
                     job.cancelled ? "the job was cancelled" : "the job has failed");
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
            stop_run(name_of(ref), ref, "another run of the gang has ended");
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

// Returns whether a worker of the service would have room for a task of the step if it were idle.
bool scheduler::has_worker_for(const step_spec& step, const service_id& service) const {
    const auto& workers = workers_.all();
    return std::any_of(workers.begin(), workers.end(), [&](const auto& entry) {
        const auto& worker = entry.second;
        return worker.facts.service == service && !worker.expired && !worker.facts.draining &&
               can_host(worker.facts, step);
    });
}

// Returns the service whose workers run the step: that of the queue, or the one under which the job
// was accepted if only that has a suitable worker.
const service_id& scheduler::service_for(const open_job& job, const step_spec& step) const {
    const auto& former = job.spec.service;
    const bool stays =
        job.service != former && !has_worker_for(step, job.service) && has_worker_for(step, former);
    return stays ? former : job.service;
}

candidates scheduler::find_candidates(const service_id& service, time_point now) {
    candidates usable_candidates;
    candidates slow_candidates;
    const auto closed_hosts = trial_hosts();
    for (const auto& [host, worker] : workers_.all()) {
        if (worker.facts.service != service || !exclusion_reason(worker, now).empty()) {
            continue;
        }
        const auto health = worker.history.health(now);
        const bool slow_worker = worker.speed.is_slow(now);
        auto& into = slow_worker && !worker.speed.from_gang() ? slow_candidates : usable_candidates;
        auto host_candidate = make_candidate(worker.facts, worker.used);
        host_candidate.degraded = slow_worker || health != worker_health::healthy;
        host_candidate.on_probation = health == worker_health::probation;
        host_candidate.closed = closed_hosts.contains(host);
        into.push_back(host_candidate);
    }
    // If most workers appear slow, the estimates are wrong rather than the workers.
    if (slow_candidates.size() > usable_candidates.size()) {
        usable_candidates.insert(usable_candidates.end(), slow_candidates.begin(),
                                 slow_candidates.end());
    }
    return usable_candidates;
}

// Returns the hosts where runs of the job failed right after their start, since the host may be the
// cause. Excludes at most half of all hosts: if there are few, a possibly faulty host is better
// than none.
std::vector<host_id> scheduler::find_excluded_hosts(const open_job& job, time_point now) const {
    std::vector<host_id> excluded;
    for (const auto& [host, failed_at] : job.quick_failures) {
        if (now - failed_at < exclusion_time && excluded.size() < workers_.all().size() / 2) {
            excluded.push_back(host);
        }
    }
    return excluded;
}

std::vector<scheduler::waiting_group> scheduler::collect_waiting_groups(
    const guarantee_uses& guarantees, time_point now, wall_time wall_now) {
    std::vector<waiting_group> groups;
    for (auto& [id, job] : jobs_) {
        if (job.cancelled || job.failed) {
            continue;
        }
        if (has_trial(id) && !has_long_running_step(job.spec)) {
            continue;
        }
        std::vector<waiting_group> job_groups;
        add_waiting_groups(job, now, job_groups);
        separate_trials(job_groups);
        const auto rank = job_groups.empty() ? 0 : rank_of(job.spec, job.progress, wall_now);
        for (auto& waiting : job_groups) {
            waiting.rank = rank;
            groups.push_back(std::move(waiting));
        }
    }
    mark_entitled(guarantees, groups);
    std::stable_sort(groups.begin(), groups.end(),
                     [](const waiting_group& left, const waiting_group& right) {
                         return std::tuple(left.job->spec.priority, !left.entitled, left.rank) <
                                std::tuple(right.job->spec.priority, !right.entitled, right.rank);
                     });
    return groups;
}

void scheduler::add_waiting_groups(open_job& job, time_point now,
                                   std::vector<waiting_group>& into) {
    for (const auto& occurrence : job.progress.occurrences) {
        if (occurrence.done) {
            continue;
        }
        for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
            const auto& spec = job.spec.steps[step];
            const auto& tasks = occurrence.steps[step];
            const bool ready =
                std::all_of(spec.after.begin(), spec.after.end(), [&](std::uint32_t earlier) {
                    return is_step_done(job.spec.steps[earlier], occurrence.steps[earlier]);
                });
            if (!ready || is_step_done(spec, tasks)) {
                continue;
            }
            task_group group{.step = {.job = job.spec.id,
                                      .occurrence = occurrence.number,
                                      .step = static_cast<std::uint32_t>(step)},
                             .spec = &spec,
                             .tasks = {},
                             .tasks_on_host = {},
                             .excluded_hosts = find_excluded_hosts(job, now)};
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].phase == task_phase::waiting) {
                    group.tasks.push_back(static_cast<std::uint32_t>(index));
                } else if (tasks[index].phase == task_phase::assigned && spec.most_per_worker > 0) {
                    ++group.tasks_on_host[tasks[index].place.host];
                }
            }
            const bool complete = !spec.gang || group.tasks.size() == tasks.size();
            if (complete && !group.tasks.empty()) {
                into.push_back({.job = &job, .group = std::move(group)});
            }
        }
    }
}

// Returns what all open jobs of priority 0 need, by workspace.
guarantee_uses scheduler::measure_guarantees(const workload_config& config) const {
    guarantee_uses uses;
    for (const auto& [id, job] : jobs_) {
        if (job.spec.priority != 0) {
            continue;
        }
        std::uint64_t max_accelerators = 0;
        for (const auto& step : job.spec.steps) {
            max_accelerators = std::max(
                max_accelerators, std::uint64_t{step.tasks} * step.per_task.accelerators.get());
        }
        uses[job.spec.workspace].demand += max_accelerators;
    }
    for (auto& [id, use] : uses) {
        const auto* workspace = config.find_workspace(id);
        use.guaranteed = workspace == nullptr ? 0 : workspace->guaranteed.get();
    }
    return uses;
}

// Marks the groups of priority 0 whose workspace stays within its guarantee with all its open jobs
// of priority 0.
void scheduler::mark_entitled(const guarantee_uses& guarantees,
                              std::vector<waiting_group>& groups) {
    for (auto& waiting : groups) {
        const auto& spec = waiting.job->spec;
        const auto use = guarantees.find(spec.workspace);
        waiting.entitled = spec.priority == 0 && use != guarantees.end() && use->second.is_within();
    }
}

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
                      .failed_run = ref->task->failed_run,
                      .checkpoint = group.spec->gang ? gang_checkpoint : ref->task->checkpoint,
                      .crashes = ref->task->crashes};
        *ref->state = {.stored_run = ref->state->stored_run,
                       .stopping = false,
                       .restored = false,
                       .moved = ref->state->moved,
                       .preemption_count = ref->state->preemption_count,
                       .stall_count = ref->state->stall_count,
                       .assigned_at = pass.now,
                       .sent = false,
                       .begun = false,
                       .listed_since = {},
                       .listed_until = {},
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
