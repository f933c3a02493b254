#ifndef BAOBABRACK_WORKLOAD_JOB_PROGRESS_HPP
#define BAOBABRACK_WORKLOAD_JOB_PROGRESS_HPP

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/workload/crash_record.hpp"
#include "baobabrack/workload/failure_record.hpp"
#include "baobabrack/workload/job_spec.hpp"

namespace baobabrack::wire {
class WorkloadProgress;
}

namespace baobabrack::workload {

enum class job_phase { queued, active, completed, failed, cancelled };

std::string_view to_string(job_phase phase);

/// @return whether no run of the job is active or will start
constexpr bool has_ended(job_phase phase) {
    return phase == job_phase::completed || phase == job_phase::failed ||
           phase == job_phase::cancelled;
}

enum class task_phase {
    waiting,
    /// A worker is chosen; the run may be starting, running or stopping.
    assigned,
    done,
};

struct task_progress {
    task_phase phase = task_phase::waiting;
    run_number run;
    /// The worker instance of the latest run. While the task waits: if that run was lost and its
    /// end has not arrived, else none.
    worker_instance place;
    /// The runs that ended as failed. Those of a gang are kept at its first task.
    failure_record failures;
    /// Latest checkpoint; empty if there is none.
    std::string checkpoint;
    crash_record crashes;
    /// The end of an earlier run as done has arrived after the latest run was assigned. The task is
    /// done once that one has ended, however it ends.
    bool done_earlier = false;
};

struct occurrence_progress {
    std::uint32_t number = 0;
    /// All steps are done and no run is active.
    bool done = false;
    /// Indexed by step, then by task. Empty if the occurrence is done.
    std::vector<std::vector<task_progress>> steps;
};

struct job_progress {
    job_phase phase = job_phase::queued;
    std::vector<occurrence_progress> occurrences;
    wall_time ended{};
    /// A worker has started a task of the job. A start that was ordered may still be refused.
    bool begun = false;
};

/// @return an occurrence whose tasks are all waiting
occurrence_progress new_occurrence(const job_spec& spec, std::uint32_t number);

/// Records that a run of the task has failed, unless the step has no limit of attempts. All members
/// of a gang may fail in the same run, which uses up one attempt.
///
/// @return whether this was not known before
bool record_failure(const step_spec& step, std::vector<task_progress>& tasks, task_progress& task,
                    run_number run);

/// @return how many attempts of the step have failed: of the gang, or of the task with the most
std::uint32_t failed_attempts(const step_spec& step, const std::vector<task_progress>& tasks);

/// @return whether the step needs no further runs; a gang is done when one of its tasks is done,
/// and
///         a long-running step never is
bool is_step_done(const step_spec& step, const std::vector<task_progress>& tasks);

/// @return whether all steps of the occurrence are done
bool is_occurrence_done(const job_spec& spec, const occurrence_progress& progress);

/// @return whether a run of the occurrence may be active
bool has_assigned_tasks(const occurrence_progress& progress);

/// How much of a job's progress is stored.
enum class progress_detail {
    full,
    /// Without checkpoints: if another scheduler takes over, work since the start is lost.
    no_checkpoints,
    /// Without checkpoints and records of crashes: suspicions are lost as well.
    states_only,
};

std::string_view to_string(progress_detail detail);

/// @return progress with the steps and tasks of the job; tasks missing in the record are waiting,
/// as
///         are long-running tasks that earlier versions stored as done
job_progress from_wire(const job_spec& spec, const wire::WorkloadProgress& record);
wire::WorkloadProgress to_wire(const job_progress& progress,
                               progress_detail detail = progress_detail::full);

/// The value of a progress record.
struct encoded_progress {
    std::string value;
    progress_detail detail = progress_detail::full;
};

/// @return the progress with as much detail as fits, or nothing if it is too large in any case
std::optional<encoded_progress> encode_progress(const job_progress& progress,
                                                std::size_t max_bytes);

}  // namespace baobabrack::workload

#endif
