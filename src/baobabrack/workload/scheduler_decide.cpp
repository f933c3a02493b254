// What runs next and where.
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

// Clocks of hosts differ a little; an occurrence begins this much after its due time.
constexpr milliseconds due_margin{60};
// Ended occurrences and jobs further past their objective than this factor are worth nothing.
constexpr int worthless_factor = 3;
constexpr placement_constraints fast_only{.allow_remote = false, .allow_multiple_racks = false};
// Ranks of groups that come after those that can still be in time.
constexpr double late_rank = 1e6;
constexpr double worthless_rank = 2e6;
// Without news waiting groups are looked at again after this time, as time alone changes what may
// be placed: a run that is late, a worker that gets a trial.
constexpr duration placement_interval = milliseconds{250};
// A job stays away for this long from a host where its runs have failed: longer than it takes to
// tell a worker that fails everything from a task that does.
constexpr duration avoid_time = std::chrono::seconds{8};

double remaining_work(const job_spec& spec, const job_progress& progress) {
    double work = 0;
    for (const auto& occurrence : progress.occurrences) {
        for (std::size_t at = 0; at < spec.steps.size(); ++at) {
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

// How long a job may take by what its queue promises.
duration objective_of(const job_spec& spec) {
    return from_seconds(to_seconds(critical_path_time(spec)) * spec.slack_factor) +
           spec.target_completion;
}

// The order of waiting jobs of one priority: those that can still be in time, shortest work
// first; then late ones, which still earn a part; then those that earn nothing any more. Under
// overload, shortest work first serves most jobs; first come would make all of them late.
double rank_of(const job_spec& spec, const job_progress& progress, wall_time wall_now) {
    const auto work = std::min(remaining_work(spec, progress), late_rank / 2);
    const auto objective = objective_of(spec);
    const duration age = wall_now - spec.submitted;
    if (age > objective * worthless_factor) {
        return worthless_rank + work;
    }
    return age > objective ? late_rank + work : work;
}

}  // namespace

void scheduler::decide(const directory* config, time_point now, wall_time wall_now) {
    expire_silent(now);
    settle_jobs(wall_now);
    if (config == nullptr || !placement_due(*config, now)) {
        return;
    }
    auto groups = waiting_groups(*config, now, wall_now);
    place_groups(groups, now);
}

bool scheduler::placement_due(const directory& config, time_point now) {
    if (!room_changed_ && config.version == placed_under_ &&
        now - placed_at_ < placement_interval) {
        return false;
    }
    room_changed_ = false;
    placed_under_ = config.version;
    placed_at_ = now;
    return true;
}

void scheduler::settle_jobs(wall_time wall_now) {
    for (auto each = jobs_.begin(); each != jobs_.end();) {
        auto& job = each->second;
        open_due_occurrences(job, wall_now);
        if (std::exchange(job.unsettled, false)) {
            settle(job, wall_now);
        }
        if (has_ended(job.progress.phase) && !anything_assigned(job)) {
            if (job.dirty) {
                ended_jobs_.push_back({.job = each->first, .progress = std::move(job.progress)});
            }
            each = jobs_.erase(each);
        } else {
            ++each;
        }
    }
}

void scheduler::settle(open_job& job, wall_time wall_now) {
    bool failed = false;
    bool all_done = !job.progress.occurrences.empty();
    for (auto& occurrence : job.progress.occurrences) {
        if (occurrence.done) {
            continue;
        }
        const bool finished = is_occurrence_done(job.spec, occurrence);
        occurrence.done = finished && !workload::has_assigned_tasks(occurrence);
        all_done = all_done && finished;
        for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
            const auto& spec = job.spec.steps[step];
            std::uint32_t failures = 0;
            for (const auto& task : occurrence.steps[step]) {
                failures = spec.gang ? failures + task.failures : std::max(failures, task.failures);
            }
            failed = failed || (!spec.long_running && failures >= job.spec.most_attempts &&
                                !is_step_done(spec, occurrence.steps[step]));
        }
    }
    job.failed = failed;
    const auto expected = std::max<std::uint32_t>(job.spec.occurrences, 1);
    all_done = all_done && job.progress.occurrences.size() == expected;
    if (!all_done && (job.cancelled || failed)) {
        stop_all(job);
    } else {
        stop_broken_gangs(job);
    }
    if (has_ended(job.progress.phase)) {
        return;
    }
    // One end of a gang stands for all, so the job is complete although other ends of the gang are
    // still on their way; it is kept until they have come, for the room that they hold.
    if (all_done) {
        finish(job, job_phase::completed, wall_now);
    } else if (job.cancelled && !anything_assigned(job)) {
        finish(job, job_phase::cancelled, wall_now);
    } else if (failed && !anything_assigned(job)) {
        finish(job, job_phase::failed, wall_now);
    }
}

void scheduler::open_due_occurrences(open_job& job, wall_time wall_now) {
    auto& occurrences = job.progress.occurrences;
    while (occurrences.size() < job.spec.occurrences) {
        const auto number = static_cast<std::uint32_t>(occurrences.size());
        const auto due = job.spec.first_due + duration_cast<milliseconds>(job.spec.interval) *
                                                  static_cast<std::int64_t>(number);
        if (wall_now < due + due_margin) {
            return;
        }
        occurrences.push_back(new_occurrence(job.spec, number));
        auto& steps = job.extra.emplace_back();
        for (const auto& step : job.spec.steps) {
            steps.emplace_back(step.tasks);
        }
        job.unsettled = true;
        room_changed_ = true;
    }
}

void scheduler::stop_all(open_job& job) {
    for_each_task(job, [&](const task_ref& ref) {
        if (ref.task->phase == task_phase::assigned) {
            stop(name_of(ref), ref, job.cancelled ? "the job was cancelled" : "the job has failed");
        }
    });
}

// A gang of which one run has ended unfinished cannot go on.
void scheduler::stop_broken_gangs(open_job& job) {
    for_each_task(job, [&](const task_ref& ref) {
        if (!ref.step->gang || ref.task->phase != task_phase::assigned ||
            is_step_done(*ref.step, *ref.tasks)) {
            return;
        }
        const auto waits = [](const task_progress& one) {
            return one.phase == task_phase::waiting;
        };
        const auto stops = [](const task_extra& one) { return one.stopping; };
        if (std::any_of(ref.tasks->begin(), ref.tasks->end(), waits) ||
            std::any_of(ref.extras->begin(), ref.extras->end(), stops)) {
            stop(name_of(ref), ref, "another run of the gang has ended");
        }
    });
}

bool scheduler::anything_assigned(const open_job& job) const {
    const auto& occurrences = job.progress.occurrences;
    return std::any_of(occurrences.begin(), occurrences.end(), [](const occurrence_progress& one) {
        return !one.done && workload::has_assigned_tasks(one);
    });
}

void scheduler::finish(open_job& job, job_phase phase, wall_time wall_now) {
    job.progress.phase = phase;
    job.progress.ended = wall_now;
    job.dirty = true;
    add_note("job-" + std::string{to_string(phase)}, {.step = {.job = job.spec.id}}, {}, {});
}

candidates scheduler::candidates_of(const service_id& service, time_point now) {
    candidates sound;
    candidates slow;
    for (const auto& [host, worker] : workers_.all()) {
        const auto standing = worker.record.standing(now);
        const bool busy_on_trial =
            standing == worker_standing::on_trial && worker.used != resources{};
        const bool usable = worker.facts.service == service && !worker.facts.draining &&
                            !worker.gone && worker.answers && !worker.has_strays &&
                            now <= worker.heard + options_.silence_limit &&
                            standing != worker_standing::suspect && !busy_on_trial;
        if (!usable) {
            continue;
        }
        const bool is_slow = worker.speed.slow(now);
        auto& into = is_slow && !worker.speed.shared() ? slow : sound;
        into.push_back({.facts = &worker.facts,
                        .available = left_of(worker.facts.capacity, worker.used),
                        .degraded = is_slow || standing != worker_standing::sound});
    }
    // Where most are slow, the estimates are wrong rather than the workers.
    if (slow.size() > sound.size()) {
        sound.insert(sound.end(), slow.begin(), slow.end());
    }
    return sound;
}

// A run that has failed at once is not started again at the same place for a while, as the place
// may be what is wrong. Where there are few hosts, one that may be unsound is better than none.
std::vector<host_id> scheduler::avoided_by(const open_job& job, time_point now) const {
    std::vector<host_id> avoided;
    for (const auto& [host, failed_at] : job.failed_on) {
        if (now - failed_at < avoid_time && avoided.size() < workers_.all().size() / 2) {
            avoided.push_back(host);
        }
    }
    return avoided;
}

std::vector<scheduler::waiting_group> scheduler::waiting_groups(const directory& config,
                                                                time_point now,
                                                                wall_time wall_now) {
    std::vector<waiting_group> groups;
    for (auto& [id, job] : jobs_) {
        if (job.cancelled || job.failed) {
            continue;
        }
        const auto first = groups.size();
        add_waiting_groups(job, now, groups);
        const auto rank = groups.size() > first ? rank_of(job.spec, job.progress, wall_now) : 0;
        for (auto at = first; at < groups.size(); ++at) {
            groups[at].rank = rank;
        }
    }
    mark_entitled(config, groups);
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
                             .excluded_hosts = avoided_by(job, now)};
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

// Marks the groups of priority 0 whose workspace holds no more than its guarantee with them.
void scheduler::mark_entitled(const directory& config, std::vector<waiting_group>& groups) const {
    std::map<workspace_id, std::uint64_t> open;
    for (const auto& [id, job] : jobs_) {
        if (job.spec.priority != 0) {
            continue;
        }
        std::uint64_t widest = 0;
        for (const auto& step : job.spec.steps) {
            widest = std::max(widest, std::uint64_t{step.tasks} * step.per_task.accelerators.get());
        }
        open[job.spec.workspace] += widest;
    }
    for (auto& waiting : groups) {
        const auto& spec = waiting.job->spec;
        const auto* workspace = config.find_workspace(spec.workspace);
        waiting.entitled = spec.priority == 0 && workspace != nullptr &&
                           open[spec.workspace] <= workspace->guaranteed.get();
    }
}

void scheduler::place_groups(std::vector<waiting_group>& groups, time_point now) {
    std::map<service_id, placement_pass> passes;
    for (auto& waiting : groups) {
        const auto& service = waiting.job->spec.service;
        auto found = passes.find(service);
        if (found == passes.end()) {
            found = passes
                        .emplace(service,
                                 placement_pass{
                                     .room = view_room(service, now), .now = now, .victims = {}})
                        .first;
        }
        place_group(waiting, found->second);
    }
}

// What fits into fast places begins at once. For the rest it is weighed whether to wait, to have
// room freed, or to take slow places; each task that does not belong to a gang for itself.
void scheduler::place_group(waiting_group& waiting, placement_pass& pass) {
    auto& group = waiting.group;
    const auto usable = pass.room.available_for(pass.now, group.spec->estimated);
    if (group.spec->gang) {
        if (const auto fast = place(group, usable, fast_only)) {
            assign(waiting, *fast, pass);
        } else {
            place_late(waiting, pass);
        }
        return;
    }
    assign(waiting, place_partial(group, usable, fast_only), pass);
    auto rest = waiting;
    const bool urgent = waiting.job->spec.priority == 0;
    for (const auto index : waiting.group.tasks) {
        rest.group.tasks = {index};
        rest.group.tasks_on_host = waiting.group.tasks_on_host;
        // Each task of an urgent step gets room of its own; of other steps one reserves a place,
        // and the others are alike.
        if (!place_late(rest, pass) && !urgent) {
            return;
        }
        waiting.group.tasks_on_host = rest.group.tasks_on_host;
    }
}

// Whether a group that begins then is still in time, and begins within what its workspace is
// promised. Stopping work for it would only throw that work away.
bool scheduler::can_wait_until(const waiting_group& waiting, time_point begin,
                               time_point now) const {
    const auto& job = *waiting.job;
    const auto spare = objective_of(job.spec) - from_seconds(to_seconds(now - job.since)) -
                       critical_path_time(job.spec);
    const auto promised = job.since + options_.reclaim_timeout / 2;
    return begin - now < spare / 2 && (!waiting.entitled || begin < promised);
}

// Whatever lets the group end soonest: to wait for a fast place, to have one freed, or to take a
// slow place now.
bool scheduler::place_late(waiting_group& waiting, placement_pass& pass) {
    const auto& group = waiting.group;
    auto& room = pass.room;
    const auto now = pass.now;
    const auto usable = room.available_for(now, group.spec->estimated);
    const bool urgent = waiting.job->spec.priority == 0;
    const bool due = waiting.entitled && now - waiting.job->since > options_.reclaim_timeout / 2;
    const auto slow = place(group, usable, {});
    if (slow && due) {
        assign(waiting, *slow, pass);
        return true;
    }
    const auto wait = earliest_placement(group, room, now, fast_only);
    const bool in_time = wait && can_wait_until(waiting, wait->time, now);
    if (urgent && !in_time && make_room(waiting, pass, fast_only)) {
        return false;
    }
    if (slow) {
        const auto slow_end = now + std::chrono::duration_cast<duration>(group.spec->estimated *
                                                                         options_.remote_penalty);
        if (!wait || slow_end <= wait->time + group.spec->estimated) {
            assign(waiting, *slow, pass);
            return true;
        }
    }
    if (urgent && !in_time && !slow && make_room(waiting, pass, {})) {
        return false;
    }
    if (wait) {
        room.reserve(group, *wait);
    } else if (const auto any = earliest_placement(group, room, now, {})) {
        room.reserve(group, *any);
    }
    return false;
}

void scheduler::assign(waiting_group& waiting, const placed_tasks& places, placement_pass& pass) {
    if (places.empty()) {
        return;
    }
    auto& group = waiting.group;
    // Runs of a gang share one number, and its checkpoint is the same for all.
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
        const auto& facts = *pass.room.available()[placed.host_index].facts;
        const auto before = group.spec->gang ? gang_run : ref->task->run;
        const run_number run{before.get() + 1};
        *ref->task = {.phase = task_phase::assigned,
                      .run = run,
                      .place = facts.life,
                      .failures = ref->task->failures,
                      .checkpoint = group.spec->gang ? gang_checkpoint : ref->task->checkpoint};
        *ref->extra = {.stored_run = ref->extra->stored_run,
                       .stopping = false,
                       .moved = ref->extra->moved,
                       .preempted = ref->extra->preempted,
                       .assigned = pass.now,
                       .pace = {}};
        ref->extra->pace.restart(pass.now);
        hold(name, *ref);
        ++counts_.started;
        touched_.insert(facts.life.host);
        if (group.spec->most_per_worker > 0) {
            ++group.tasks_on_host[facts.life.host];
        }
        add_note("run-assigned", name, run, facts.life.host,
                 "priority " + std::to_string(waiting.job->spec.priority));
    }
    pass.room.allocate(group, places);
    std::erase_if(group.tasks, [&](std::uint32_t index) {
        return std::any_of(places.begin(), places.end(),
                           [&](const placed_task& one) { return one.index == index; });
    });
    waiting.job->progress.phase = job_phase::active;
    waiting.job->dirty = true;
}

}  // namespace baobabrack::workload
