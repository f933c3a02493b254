// What runs next and where.
#include <algorithm>
#include <cmath>
#include <tuple>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;

// Clocks of hosts differ a little; an occurrence begins this much after its due time.
constexpr milliseconds due_margin{60};
// Ended occurrences and jobs further past their objective than this factor are worth nothing.
constexpr double worthless_factor = 3;
constexpr placement_limits fast_only{.remote = false, .spread = false};
// Ranks of groups that come after those that can still be in time.
constexpr double late_rank = 1e6;
constexpr double worthless_rank = 2e6;
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

// The order of waiting jobs of one priority: those that can still be in time, shortest work
// first; then late ones, which still earn a part; then those that earn nothing any more. Under
// overload, shortest work first serves most jobs; first come would make all of them late.
double rank_of(const job_spec& spec, const job_progress& progress, wall_time wall_now) {
    const auto work = std::min(remaining_work(spec, progress), late_rank / 2);
    const auto objective = std::chrono::duration<double>(longest_chain(spec)) * spec.slack_factor +
                           std::chrono::duration<double>(spec.target_completion);
    const std::chrono::duration<double> age = wall_now - spec.submitted;
    if (age > objective * worthless_factor) {
        return worthless_rank + work;
    }
    return age > objective ? late_rank + work : work;
}

}  // namespace

void scheduler::decide(const directory* config, time_point now, wall_time wall_now) {
    expire_silent(now);
    settle_jobs(wall_now);
    if (config == nullptr) {
        return;
    }
    auto groups = waiting_groups(*config, wall_now);
    place_groups(groups, now);
}

void scheduler::settle_jobs(wall_time wall_now) {
    for (auto each = jobs_.begin(); each != jobs_.end();) {
        auto& job = each->second;
        settle(job, wall_now);
        if (has_ended(job.progress.phase)) {
            ended_jobs_.push_back({.job = each->first, .progress = std::move(job.progress)});
            each = jobs_.erase(each);
        } else {
            ++each;
        }
    }
}

void scheduler::settle(open_job& job, wall_time wall_now) {
    open_due_occurrences(job, wall_now);
    bool failed = false;
    bool all_done = !job.progress.occurrences.empty();
    for (auto& occurrence : job.progress.occurrences) {
        if (occurrence.done) {
            continue;
        }
        const bool finished = occurrence_done(job.spec, occurrence);
        occurrence.done = finished && !workload::anything_assigned(occurrence);
        all_done = all_done && finished;
        for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
            const auto& spec = job.spec.steps[step];
            std::uint32_t failures = 0;
            for (const auto& task : occurrence.steps[step]) {
                failures = spec.gang ? failures + task.failures : std::max(failures, task.failures);
            }
            failed = failed || (!spec.long_running && failures >= job.spec.most_attempts &&
                                !step_done(spec, occurrence.steps[step]));
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
    if (anything_assigned(job)) {
        return;
    }
    if (all_done) {
        finish(job, job_phase::completed, wall_now);
    } else if (job.cancelled) {
        finish(job, job_phase::cancelled, wall_now);
    } else if (failed) {
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
    }
}

void scheduler::stop_all(open_job& job) {
    for_each_task(job, [&](const task_name& name, const task_ref& ref) {
        stop(name, ref, job.cancelled ? "the job was cancelled" : "the job has failed");
    });
}

// A gang of which one run has ended unfinished cannot go on.
void scheduler::stop_broken_gangs(open_job& job) {
    for_each_task(job, [&](const task_name& name, const task_ref& ref) {
        if (!ref.step->gang || ref.task->phase != task_phase::assigned ||
            step_done(*ref.step, *ref.tasks)) {
            return;
        }
        const auto waits = [](const task_progress& one) {
            return one.phase == task_phase::waiting;
        };
        const auto stops = [](const task_extra& one) { return one.stopping; };
        if (std::any_of(ref.tasks->begin(), ref.tasks->end(), waits) ||
            std::any_of(ref.extras->begin(), ref.extras->end(), stops)) {
            stop(name, ref, "another run of the gang has ended");
        }
    });
}

bool scheduler::anything_assigned(const open_job& job) const {
    const auto& occurrences = job.progress.occurrences;
    return std::any_of(occurrences.begin(), occurrences.end(), [](const occurrence_progress& one) {
        return !one.done && workload::anything_assigned(one);
    });
}

void scheduler::finish(open_job& job, job_phase phase, wall_time wall_now) {
    job.progress.phase = phase;
    job.progress.ended = wall_now;
    job.dirty = false;
    add_note("job-" + std::string{to_string(phase)}, {.step = {.job = job.spec.id}}, {}, {});
}

candidates scheduler::candidates_of(const service_id& service, time_point now) const {
    candidates sound;
    candidates slow;
    for (const auto& [host, worker] : workers_.all()) {
        const bool usable = worker.facts.service == service && !worker.facts.draining &&
                            !worker.gone && worker.answers && !worker.has_strays &&
                            now <= worker.heard + options_.silence_limit &&
                            !worker.record.suspect(now);
        if (usable) {
            auto& into = worker.speed.slow(now) ? slow : sound;
            into.push_back({.host = host,
                            .rack = worker.facts.rack,
                            .labels = worker.facts.labels,
                            .left = left_of(worker.facts.capacity, worker.used)});
        }
    }
    // Where most are slow, the estimates are wrong rather than the workers.
    if (slow.size() > sound.size()) {
        sound.insert(sound.end(), slow.begin(), slow.end());
    }
    return sound;
}

std::vector<scheduler::waiting_group> scheduler::waiting_groups(const directory& config,
                                                                wall_time wall_now) {
    std::vector<waiting_group> groups;
    for (auto& [id, job] : jobs_) {
        if (job.cancelled || job.failed) {
            continue;
        }
        const auto first = groups.size();
        add_waiting_groups(job, groups);
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

void scheduler::add_waiting_groups(open_job& job, std::vector<waiting_group>& into) {
    for (const auto& occurrence : job.progress.occurrences) {
        if (occurrence.done) {
            continue;
        }
        for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
            const auto& spec = job.spec.steps[step];
            const auto& tasks = occurrence.steps[step];
            const bool ready =
                std::all_of(spec.after.begin(), spec.after.end(), [&](std::uint32_t earlier) {
                    return step_done(job.spec.steps[earlier], occurrence.steps[earlier]);
                });
            if (!ready || step_done(spec, tasks)) {
                continue;
            }
            task_group group{.step = {.job = job.spec.id,
                                      .occurrence = occurrence.number,
                                      .step = static_cast<std::uint32_t>(step)},
                             .spec = &spec,
                             .tasks = {},
                             .on_host = {}};
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                if (tasks[index].phase == task_phase::waiting) {
                    group.tasks.push_back(static_cast<std::uint32_t>(index));
                } else if (tasks[index].phase == task_phase::assigned) {
                    ++group.on_host[tasks[index].place.host];
                }
            }
            if (spec.gang) {
                if (group.tasks.size() == tasks.size()) {
                    into.push_back({.job = &job, .group = std::move(group)});
                }
                continue;
            }
            for (const auto index : group.tasks) {
                auto single = group;
                single.tasks = {index};
                into.push_back({.job = &job, .group = std::move(single)});
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
    std::map<service_id, room_view> rooms;
    // Tasks of one step that all failed to fit are not tried one by one.
    std::set<step_name> hopeless;
    // Tasks of one step count against each other's limit for one worker.
    std::map<step_name, std::map<host_id, std::uint32_t>> placed;
    for (auto& waiting : groups) {
        auto& group = waiting.group;
        if (hopeless.contains(group.step)) {
            continue;
        }
        const auto& service = waiting.job->spec.service;
        if (!rooms.contains(service)) {
            rooms[service] = view_room(service, now);
        }
        for (const auto& [host, count] : placed[group.step]) {
            group.on_host[host] += count;
        }
        auto& room = rooms[service];
        const auto places = choose_places(waiting, room, now);
        if (!places) {
            // Each task of an urgent step gets room of its own.
            if (waiting.job->spec.priority != 0) {
                hopeless.insert(group.step);
            }
            continue;
        }
        workload::take(room.left, group, *places);
        for (const auto& one : *places) {
            ++placed[group.step][one.host];
        }
        assign(waiting, *places, now);
    }
}

// The fast place if there is one; otherwise whatever lets the group end soonest: to wait for a
// fast place, to have one freed, or to take a slow place now.
std::optional<std::vector<placed_task>> scheduler::choose_places(const waiting_group& waiting,
                                                                 room_view& room, time_point now) {
    const auto& group = waiting.group;
    const auto usable = room.usable(now, group.spec->estimated);
    if (auto fast = place(group, usable, fast_only)) {
        return fast;
    }
    const bool urgent = waiting.job->spec.priority == 0;
    const bool due = waiting.entitled && now - waiting.job->since > options_.reclaim_timeout / 2;
    auto slow = place(group, usable, {});
    if (slow && due) {
        return slow;
    }
    if (urgent && make_room(waiting, room, now, fast_only)) {
        return std::nullopt;
    }
    const auto wait = earliest(group, room, now, fast_only);
    if (slow) {
        const auto slow_end = now + std::chrono::duration_cast<duration>(group.spec->estimated *
                                                                         options_.remote_penalty);
        if (!wait || slow_end <= wait->at + group.spec->estimated) {
            return slow;
        }
    }
    if (urgent && !slow && make_room(waiting, room, now, {})) {
        return std::nullopt;
    }
    if (wait) {
        room.reserve(group, *wait);
    } else if (const auto any = earliest(group, room, now, {})) {
        room.reserve(group, *any);
    }
    return std::nullopt;
}

void scheduler::assign(const waiting_group& waiting, const std::vector<placed_task>& places,
                       time_point now) {
    // Runs of a gang share one number, and its checkpoint is the same for all.
    run_number run;
    std::string checkpoint;
    for (const auto& placed : places) {
        const auto ref = find({.step = waiting.group.step, .index = placed.index});
        run = std::max(run, ref->task->run);
        checkpoint = std::max(checkpoint, ref->task->checkpoint);
    }
    run = run_number{run.get() + 1};
    for (const auto& placed : places) {
        const task_name name{.step = waiting.group.step, .index = placed.index};
        const auto ref = find(name);
        *ref->task = {.phase = task_phase::assigned,
                      .run = run,
                      .place = workers_.at(placed.host).facts.life,
                      .failures = ref->task->failures,
                      .checkpoint = checkpoint};
        *ref->extra = {.stored_run = ref->extra->stored_run,
                       .stopping = false,
                       .moved = ref->extra->moved,
                       .preempted = ref->extra->preempted,
                       .assigned = now,
                       .percent = 0,
                       .percent_since = now};
        hold(name, *ref);
        ++counts_.started;
        touched_.insert(placed.host);
        add_note("run-assigned", name, run, placed.host,
                 "priority " + std::to_string(waiting.job->spec.priority));
    }
    waiting.job->progress.phase = job_phase::active;
    waiting.job->dirty = true;
}

}  // namespace baobabrack::workload
