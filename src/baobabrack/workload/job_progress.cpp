#include "baobabrack/workload/job_progress.hpp"

#include <algorithm>
#include <map>

#include "baobabrack/workload.pb.h"
#include "baobabrack/workload/record_times.hpp"

namespace baobabrack::workload {

namespace {

using std::chrono::milliseconds;

/// Stores each distinct worker instance of a record once and numbers it, starting at 1.
class place_numbers {
public:
    explicit place_numbers(wire::WorkloadProgress& record) : record_(record) {}

    std::uint32_t number(const worker_instance& place) {
        const auto next = static_cast<std::uint32_t>(numbers_.size() + 1);
        const auto [found, added] = numbers_.try_emplace(place, next);
        if (added) {
            auto& entry = *record_.add_places();
            entry.set_host(place.host.get());
            entry.set_worker(place.worker.get());
            entry.set_incarnation(place.version.get());
        }
        return found->second;
    }

private:
    wire::WorkloadProgress& record_;
    std::map<worker_instance, std::uint32_t> numbers_;
};

worker_instance place_of(const wire::WorkloadProgress& record, std::uint32_t number) {
    if (number == 0 || number > static_cast<std::uint32_t>(record.places_size())) {
        return {};
    }
    const auto& entry = record.places(static_cast<int>(number) - 1);
    return {.host = host_id{entry.host()},
            .worker = worker_id{entry.worker()},
            .version = incarnation{entry.incarnation()}};
}

std::uint64_t to_ms(duration span) {
    return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(span).count());
}

crash_record from_wire(const wire::WorkloadCrashes& record) {
    return {.crashes = record.crashes(),
            .early_crashes = record.early_crashes(),
            .excused_crashes = record.excused_crashes(),
            .trial_crashes = record.trial_crashes(),
            .repeated_crashes = record.repeated_crashes(),
            .on_several_hosts = record.on_several_hosts(),
            .last_host = host_id{record.last_host()},
            .last_run_time = span_from_record(record.last_run_time_ms()),
            .other_causes = record.other_causes(),
            .trial = span_from_record(record.trial_ms())};
}

void to_wire(const crash_record& crashes, wire::WorkloadCrashes& record) {
    record.set_crashes(crashes.crashes);
    record.set_early_crashes(crashes.early_crashes);
    record.set_excused_crashes(crashes.excused_crashes);
    record.set_trial_crashes(crashes.trial_crashes);
    record.set_repeated_crashes(crashes.repeated_crashes);
    record.set_on_several_hosts(crashes.on_several_hosts);
    record.set_last_host(crashes.last_host.get());
    record.set_last_run_time_ms(to_ms(crashes.last_run_time));
    record.set_other_causes(crashes.other_causes);
    record.set_trial_ms(to_ms(crashes.trial));
}

std::vector<run_number> failed_runs_of(const wire::WorkloadTask& task) {
    std::vector<run_number> runs;
    for (const auto run : task.failed_runs()) {
        runs.emplace_back(run);
    }
    if (runs.empty() && task.failed_run() != 0) {
        runs.emplace_back(task.failed_run());
    }
    return runs;
}

failure_record make_failure_record(std::vector<run_number> runs, std::uint32_t counted) {
    const failure_record known(std::move(runs));
    return failure_record(known.runs(), counted - std::min(counted, known.count()));
}

// Earlier versions count a failed run of a gang at one of the members that failed in it, and store
// at each of these the latest run.
failure_record merge_gang_failures(const wire::WorkloadStepProgress& stored) {
    std::vector<run_number> runs;
    std::uint32_t counted = 0;
    for (const auto& task : stored.tasks()) {
        const auto known = failed_runs_of(task);
        runs.insert(runs.end(), known.begin(), known.end());
        counted += task.failures();
    }
    return make_failure_record(std::move(runs), counted);
}

task_progress from_wire(const wire::WorkloadProgress& record, const wire::WorkloadTask& task) {
    auto phase = task_phase::waiting;
    if (task.phase() == wire::WorkloadTask::ASSIGNED) {
        phase = task_phase::assigned;
    } else if (task.phase() == wire::WorkloadTask::DONE) {
        phase = task_phase::done;
    }
    return {.phase = phase,
            .run = run_number{task.run()},
            .place = place_of(record, task.place()),
            .failures = make_failure_record(failed_runs_of(task), task.failures()),
            .checkpoint = task.checkpoint(),
            .crashes = from_wire(task.crashes()),
            .done_earlier = task.done_earlier()};
}

void to_wire(const task_progress& task, progress_detail detail, place_numbers& places,
             wire::WorkloadTask& record) {
    switch (task.phase) {
        case task_phase::waiting:
            record.set_phase(wire::WorkloadTask::WAITING);
            if (!task.place.host.get().empty()) {
                record.set_place(places.number(task.place));
            }
            break;
        case task_phase::assigned:
            record.set_phase(wire::WorkloadTask::ASSIGNED);
            record.set_place(places.number(task.place));
            break;
        case task_phase::done:
            record.set_phase(wire::WorkloadTask::DONE);
            break;
    }
    record.set_run(task.run.get());
    record.set_failures(task.failures.count());
    for (const auto run : task.failures.runs()) {
        record.add_failed_runs(run.get());
    }
    if (!task.failures.runs().empty()) {
        record.set_failed_run(task.failures.runs().back().get());
    }
    record.set_done_earlier(task.done_earlier);
    if (detail == progress_detail::full) {
        record.set_checkpoint(task.checkpoint);
    }
    if (detail != progress_detail::states_only && task.crashes != crash_record{}) {
        to_wire(task.crashes, *record.mutable_crashes());
    }
}

}  // namespace

std::string_view to_string(job_phase phase) {
    switch (phase) {
        case job_phase::queued:
            return "queued";
        case job_phase::active:
            return "active";
        case job_phase::completed:
            return "completed";
        case job_phase::failed:
            return "failed";
        case job_phase::cancelled:
            return "cancelled";
    }
    return "unknown";
}

occurrence_progress new_occurrence(const job_spec& spec, std::uint32_t number) {
    occurrence_progress progress{.number = number, .steps = {}};
    for (const auto& step : spec.steps) {
        progress.steps.emplace_back(step.tasks);
    }
    return progress;
}

bool record_failure(const step_spec& step, std::vector<task_progress>& tasks, task_progress& task,
                    run_number run) {
    auto& holder = step.gang ? tasks.front() : task;
    return !step.long_running && holder.failures.add(run, task.run);
}

std::uint32_t failed_attempts(const step_spec& step, const std::vector<task_progress>& tasks) {
    std::uint32_t attempts = 0;
    for (const auto& task : tasks) {
        const auto failed = task.failures.count();
        attempts = step.gang ? attempts + failed : std::max(attempts, failed);
    }
    return attempts;
}

bool is_step_done(const step_spec& step, const std::vector<task_progress>& tasks) {
    // Such a step runs until its job is cancelled, however its runs end.
    if (step.long_running) {
        return false;
    }
    const auto is_done = [](const task_progress& task) { return task.phase == task_phase::done; };
    return step.gang ? std::any_of(tasks.begin(), tasks.end(), is_done)
                     : std::all_of(tasks.begin(), tasks.end(), is_done);
}

bool is_occurrence_done(const job_spec& spec, const occurrence_progress& progress) {
    if (progress.done) {
        return true;
    }
    for (std::size_t step = 0; step < spec.steps.size(); ++step) {
        if (!is_step_done(spec.steps[step], progress.steps[step])) {
            return false;
        }
    }
    return true;
}

bool has_assigned_tasks(const occurrence_progress& progress) {
    const auto is_assigned = [](const task_progress& task) {
        return task.phase == task_phase::assigned;
    };
    return std::any_of(progress.steps.begin(), progress.steps.end(), [&](const auto& tasks) {
        return std::any_of(tasks.begin(), tasks.end(), is_assigned);
    });
}

job_progress from_wire(const job_spec& spec, const wire::WorkloadProgress& record) {
    job_progress progress;
    progress.phase = static_cast<job_phase>(record.state());
    progress.ended = wall_time_from_record(record.ended_unix_ms());
    progress.begun = record.begun();
    for (const auto& stored : record.occurrences()) {
        if (stored.done()) {
            progress.occurrences.push_back({.number = stored.number(), .done = true, .steps = {}});
            continue;
        }
        auto occurrence = new_occurrence(spec, stored.number());
        const auto steps = std::min<std::size_t>(occurrence.steps.size(),
                                                 static_cast<std::size_t>(stored.steps_size()));
        for (std::size_t step = 0; step < steps; ++step) {
            const auto& tasks = stored.steps(static_cast<int>(step)).tasks();
            auto& target = occurrence.steps[step];
            const auto count =
                std::min<std::size_t>(target.size(), static_cast<std::size_t>(tasks.size()));
            for (std::size_t index = 0; index < count; ++index) {
                target[index] = from_wire(record, tasks[static_cast<int>(index)]);
                const bool lasts = spec.steps[step].long_running;
                if (lasts && target[index].phase == task_phase::done) {
                    target[index].phase = task_phase::waiting;
                }
                if (spec.steps[step].gang) {
                    target[index].failures = {};
                }
            }
            if (spec.steps[step].gang && !target.empty()) {
                target.front().failures = merge_gang_failures(stored.steps(static_cast<int>(step)));
            }
        }
        progress.occurrences.push_back(std::move(occurrence));
    }
    return progress;
}

wire::WorkloadProgress to_wire(const job_progress& progress, progress_detail detail) {
    wire::WorkloadProgress record;
    record.set_state(static_cast<wire::WorkloadProgress::State>(progress.phase));
    record.set_ended_unix_ms(static_cast<std::uint64_t>(progress.ended.time_since_epoch().count()));
    record.set_begun(progress.begun);
    if (has_ended(progress.phase)) {
        return record;
    }
    place_numbers places(record);
    for (const auto& occurrence : progress.occurrences) {
        auto& stored = *record.add_occurrences();
        stored.set_number(occurrence.number);
        stored.set_done(occurrence.done);
        if (occurrence.done) {
            continue;
        }
        for (const auto& step : occurrence.steps) {
            auto& tasks = *stored.add_steps();
            for (const auto& task : step) {
                to_wire(task, detail, places, *tasks.add_tasks());
            }
        }
    }
    return record;
}

std::string_view to_string(progress_detail detail) {
    switch (detail) {
        case progress_detail::full:
            return "full";
        case progress_detail::no_checkpoints:
            return "without checkpoints";
        case progress_detail::states_only:
            return "without checkpoints and crash records";
    }
    return "unknown";
}

std::optional<encoded_progress> encode_progress(const job_progress& progress,
                                                std::size_t max_bytes) {
    for (const auto detail :
         {progress_detail::full, progress_detail::no_checkpoints, progress_detail::states_only}) {
        auto value = to_wire(progress, detail).SerializeAsString();
        if (value.size() <= max_bytes) {
            return encoded_progress{.value = std::move(value), .detail = detail};
        }
    }
    return std::nullopt;
}

}  // namespace baobabrack::workload
