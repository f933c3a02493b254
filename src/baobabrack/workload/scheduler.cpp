#include "baobabrack/workload/scheduler.hpp"

#include <algorithm>
#include <utility>

namespace baobabrack::workload {

std::string_view to_string(end_kind how) {
    switch (how) {
        case end_kind::done:
            return "done";
        case end_kind::failed:
            return "failed";
        case end_kind::stopped:
            return "stopped";
        case end_kind::lease_lapsed:
            return "lease_lapsed";
        case end_kind::gang_broken:
            return "gang_broken";
        case end_kind::gang_incomplete:
            return "gang_incomplete";
        case end_kind::unknown:
            return "unknown";
    }
    return "unknown";
}

void scheduler::load(const job_table& book, time_point now, time_point lapsed_after) {
    inherited_lapse_ = lapsed_after;
    for (const auto& [id, job] : book.jobs()) {
        add(job, now);
    }
}

void scheduler::add(const stored_job& job, time_point now) {
    if (jobs_.contains(job.spec.id) || has_ended(job.progress.phase)) {
        return;
    }
    open({.spec = job.spec,
          .progress = job.progress,
          .cancelled = job.cancelled,
          .since = now,
          .extra = {},
          .dirty = false});
    inherit_runs(jobs_.at(job.spec.id), now);
}

// Counts the runs that an earlier leader has assigned.
void scheduler::inherit_runs(open_job& job, time_point now) {
    for_each_task(job, [&](const task_ref& ref) {
        if (ref.task->phase != task_phase::assigned) {
            return;
        }
        const auto name = name_of(ref);
        ref.extra->stored_run = ref.task->run;
        ref.extra->assigned = now;
        ref.extra->pace.restart(now);
        const auto& place = ref.task->place;
        auto* known = workers_.find(place.host);
        if (known == nullptr) {
            known = &workers_.at(place.host);
            known->facts.life = place;
            known->lapsed_after = inherited_lapse_;
        }
        hold(name, ref);
        if (known->facts.life != place && known->heard != time_point{}) {
            ++counts_.lost;
            add_note("run-lost", name, ref.task->run, place.host,
                     "a newer worker runs on the host");
            end_run(name, ref, "");
        }
    });
}

void scheduler::open(open_job job) {
    if (job.spec.occurrences == 0 && job.progress.occurrences.empty()) {
        job.progress.occurrences.push_back(new_occurrence(job.spec, 0));
    }
    for (const auto& occurrence : job.progress.occurrences) {
        auto& steps = job.extra.emplace_back();
        for (const auto& tasks : occurrence.steps) {
            steps.emplace_back(tasks.size());
        }
    }
    room_changed_ = true;
    jobs_.emplace(job.spec.id, std::move(job));
}

void scheduler::cancel(const job_id& id) {
    const auto found = jobs_.find(id);
    if (found != jobs_.end()) {
        found->second.cancelled = true;
        found->second.unsettled = true;
    }
}

task_name scheduler::name_of(const task_ref& ref) {
    return {
        .step = {.job = ref.job->spec.id, .occurrence = ref.occurrence, .step = ref.step_number},
        .index = ref.index};
}

std::optional<scheduler::task_ref> scheduler::find(const task_name& task) {
    const auto found = jobs_.find(task.step.job);
    if (found == jobs_.end()) {
        return std::nullopt;
    }
    auto& job = found->second;
    auto& all = job.progress.occurrences;
    const auto at = std::find_if(all.begin(), all.end(), [&](const occurrence_progress& one) {
        return one.number == task.step.occurrence;
    });
    if (at == all.end() || task.step.step >= at->steps.size() ||
        task.index >= at->steps[task.step.step].size()) {
        return std::nullopt;
    }
    auto& tasks = at->steps[task.step.step];
    auto& extras = job.extra[static_cast<std::size_t>(at - all.begin())][task.step.step];
    return task_ref{.job = &job,
                    .occurrence = task.step.occurrence,
                    .step_number = task.step.step,
                    .index = task.index,
                    .step = &job.spec.steps[task.step.step],
                    .tasks = &tasks,
                    .extras = &extras,
                    .task = &tasks[task.index],
                    .extra = &extras[task.index]};
}

// Counts a run on its worker.
void scheduler::hold(const task_name& name, const task_ref& ref) {
    const auto& place = ref.task->place;
    runs_on_[place.host].insert(name);
    auto& worker = workers_.at(place.host);
    ref.extra->worker = &worker;
    if (worker.facts.life == place) {
        worker.used.add(ref.step->per_task);
    }
}

void scheduler::release(const task_name& name, const task_ref& ref) {
    const auto& place = ref.task->place;
    runs_on_[place.host].erase(name);
    touched_.insert(place.host);
    room_changed_ = true;
    ref.job->unsettled = true;
    auto* worker = std::exchange(ref.extra->worker, nullptr);
    if (worker != nullptr && worker->facts.life == place) {
        worker->used = left_of(worker->used, ref.step->per_task);
    }
}

// The run is over without having finished its task.
void scheduler::end_run(const task_name& name, const task_ref& ref, const std::string& checkpoint) {
    release(name, ref);
    ref.task->phase = task_phase::waiting;
    if (!checkpoint.empty() && ref.step->checkpoints) {
        ref.task->checkpoint = checkpoint;
    }
    ref.extra->stopping = false;
    ref.job->dirty = true;
}

void scheduler::stop(const task_name& name, const task_ref& ref, const std::string& why) {
    if (ref.task->phase != task_phase::assigned || ref.extra->stopping) {
        return;
    }
    ref.extra->stopping = true;
    ref.job->unsettled = true;
    room_changed_ = true;
    ++counts_.stopped;
    touched_.insert(ref.task->place.host);
    add_note("run-stopping", name, ref.task->run, ref.task->place.host, why);
}

progress_batch scheduler::take_batch(bool with_checkpoints) {
    progress_batch batch;
    batch.changes = std::exchange(ended_jobs_, {});
    for (auto& [id, job] : jobs_) {
        if (job.dirty || (with_checkpoints && job.saved)) {
            job.dirty = false;
            job.saved = false;
            batch.changes.push_back({.job = id, .progress = job.progress});
        }
    }
    if (!batch.changes.empty() || ends_dirty_) {
        batch.ends = ends_taken_;
        ends_dirty_ = false;
    }
    return batch;
}

void scheduler::stored(const progress_batch& batch) {
    for (const auto& change : batch.changes) {
        const auto found = jobs_.find(change.job);
        if (found == jobs_.end()) {
            continue;
        }
        auto& job = found->second;
        for (std::size_t at = 0; at < change.progress.occurrences.size(); ++at) {
            const auto& steps = change.progress.occurrences[at].steps;
            for (std::size_t step = 0; step < steps.size(); ++step) {
                for (std::size_t index = 0; index < steps[step].size(); ++index) {
                    const auto& task = steps[step][index];
                    if (task.phase == task_phase::assigned) {
                        job.extra[at][step][index].stored_run = task.run;
                        touched_.insert(task.place.host);
                    }
                }
            }
        }
    }
    for (const auto& [life, number] : batch.ends) {
        auto& known = ends_stored_[life];
        if (known < number) {
            known = number;
            touched_.insert(life.host);
        }
    }
}

std::set<host_id> scheduler::take_touched_hosts() {
    return std::exchange(touched_, {});
}

std::vector<scheduler::note> scheduler::take_notes() {
    return std::exchange(notes_, {});
}

void scheduler::add_note(std::string event, const task_name& task, run_number run,
                         const host_id& host, std::string detail) {
    notes_.push_back({.event = std::move(event),
                      .task = task,
                      .run = run,
                      .host = host,
                      .detail = std::move(detail)});
}

}  // namespace baobabrack::workload
