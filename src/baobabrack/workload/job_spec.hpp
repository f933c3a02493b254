#ifndef BAOBABRACK_WORKLOAD_JOB_SPEC_HPP
#define BAOBABRACK_WORKLOAD_JOB_SPEC_HPP

#include <string>
#include <vector>

#include "baobabrack/units/failure.hpp"
#include "baobabrack/units/resources.hpp"
#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/names.hpp"

namespace baobabrack::wire {
class WorkloadSubmission;
}

namespace baobabrack::workload {

/// Tasks of one shape that become ready together.
struct step_spec {
    std::uint32_t tasks = 1;
    resources per_task;
    /// Untrusted estimate of one task's run time.
    duration estimated{};
    /// Earlier steps that must be done first.
    std::vector<std::uint32_t> after;
    bool checkpoints = false;
    /// All tasks run together or none does.
    bool gang = false;
    /// The gang is slower when it spans racks.
    bool rack_local = false;
    label required_label;
    rack_id data_rack;
    /// Most tasks of the step on one worker; zero means no limit.
    std::uint32_t most_per_worker = 0;
    /// Several runs of one task may go on at once.
    bool speculative = false;
    /// Runs until the job is cancelled and is started again however it ends.
    bool long_running = false;
};

/// What a caller submitted, with what its queue promised then.
struct job_spec {
    job_id id;
    queue_id queue;
    workspace_id workspace;
    service_id service;
    /// Zero comes first.
    std::uint32_t priority = 0;
    std::uint32_t most_attempts = 1;
    double slack_factor = 1;
    duration target_completion{};
    wall_time submitted{};
    /// Handed to the worker with each start, as the caller sent it.
    std::string payload;
    std::vector<step_spec> steps;
    /// Zero: runs once, at once.
    std::uint32_t occurrences = 0;
    wall_time first_due{};
    duration interval{};
};

/// Most tasks of one occurrence of a job: its progress has to fit into one record of the store
/// (256 KiB), at up to 50 bytes a task.
constexpr std::uint64_t max_tasks_per_job = 5'000;
/// Most occurrences of a job; each one takes some bytes of its progress, also when it is done.
constexpr std::uint32_t max_occurrences = 10'000;

/// @return nothing, or what is wrong with the job and how to mend it
result<void> validate(const job_spec& spec);

/// @return the run time of the longest chain of steps, each at its estimate
duration critical_path_time(const job_spec& spec);

/// @return the job, or `invalid` when the record breaks a rule
result<job_spec> from_wire(const wire::WorkloadSubmission& record);
wire::WorkloadSubmission to_wire(const job_spec& spec);

}  // namespace baobabrack::workload

#endif
