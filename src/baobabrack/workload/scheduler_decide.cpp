// One decision: which groups wait, and in which order they are placed.
#include <algorithm>
#include <tuple>
#include <utility>

#include "baobabrack/workload/queue_order.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

namespace {

// Placement runs at least this often, since time alone can make a group placeable: a run exceeds
// its estimate, or a worker enters probation.
constexpr duration placement_interval = std::chrono::milliseconds{250};

}  // namespace

void scheduler::decide(const workload_config* config, time_point now, wall_time wall_now) {
    expire_silent_workers(now);
    report_health(now);
    stop_departing_runs(now);
    withdraw_evacuated_runs();
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
        uses[job.workspace].demand += max_accelerators;
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
        const auto use = guarantees.find(waiting.job->workspace);
        waiting.entitled = spec.priority == 0 && use != guarantees.end() && use->second.is_within();
    }
}

}  // namespace baobabrack::workload
