#ifndef BAOBABRACK_WORKLOAD_JOB_PROGRESS_HPP
#define BAOBABRACK_WORKLOAD_JOB_PROGRESS_HPP

#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/workload/job_spec.hpp"

namespace baobabrack::wire {
class WorkloadProgress;
}

namespace baobabrack::workload {

enum class job_phase { queued, active, completed, failed, cancelled };

std::string_view to_string(job_phase phase);

/// @return whether nothing of the job runs any more or will
constexpr bool has_ended(job_phase phase) {
    return phase == job_phase::completed || phase == job_phase::failed ||
           phase == job_phase::cancelled;
}

enum class task_phase {
    waiting,
    /// A worker has been chosen; the run may be starting, running or stopping.
    assigned,
    done,
};

struct task_progress {
    task_phase phase = task_phase::waiting;
    run_number run;
    /// Where the newest run is or was.
    worker_instance place;
    /// Runs that ended as failed.
    std::uint32_t failures = 0;
    /// Newest checkpoint; empty if there is none.
    std::string checkpoint;
};

struct occurrence_progress {
    std::uint32_t number = 0;
    /// Every step is done and nothing runs any more; records keep no tasks of it.
    bool done = false;
    /// By step, then by task index.
    std::vector<std::vector<task_progress>> steps;
};

struct job_progress {
    job_phase phase = job_phase::queued;
    std::vector<occurrence_progress> occurrences;
    wall_time ended{};
};

/// @return an occurrence with every task waiting
occurrence_progress new_occurrence(const job_spec& spec, std::uint32_t number);

/// @return whether the step needs no more runs; one finished task stands for its whole gang
bool is_step_done(const step_spec& step, const std::vector<task_progress>& tasks);

/// @return whether every step of the occurrence is done
bool is_occurrence_done(const job_spec& spec, const occurrence_progress& progress);

/// @return whether a run of the occurrence may be going on
bool has_assigned_tasks(const occurrence_progress& progress);

/// @return progress with a shape that fits the job; tasks that the record lacks are waiting
job_progress from_wire(const job_spec& spec, const wire::WorkloadProgress& record);
wire::WorkloadProgress to_wire(const job_progress& progress);

}  // namespace baobabrack::workload

#endif
