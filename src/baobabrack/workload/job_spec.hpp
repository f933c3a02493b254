#ifndef BAOBABRACK_WORKLOAD_JOB_SPEC_HPP
#define BAOBABRACK_WORKLOAD_JOB_SPEC_HPP

#include <cstddef>
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

/// Range of the estimated run time of a task. The lower limit stands for an estimate that was not
/// given, and says nothing about the run time.
constexpr duration min_estimate = std::chrono::milliseconds{1};
constexpr duration max_estimate = std::chrono::hours{24};

/// @param estimate_ms in milliseconds
/// @return the estimate within the limits above
duration clamp_estimate(std::uint64_t estimate_ms);

/// Tasks with the same requirements that become ready together.
struct step_spec {
    std::uint32_t tasks = 1;
    resources per_task;
    /// Run time of a task as estimated by the submitter; untrusted.
    duration estimated{};
    /// Indices of earlier steps that must be done before this one starts.
    std::vector<std::uint32_t> after;
    bool checkpoints = false;
    /// All tasks run at the same time, or none runs.
    bool gang = false;
    /// The gang runs slower if it spans several racks.
    bool rack_local = false;
    label required_label;
    rack_id data_rack;
    /// Maximum number of tasks of the step on one worker; zero means no limit.
    std::uint32_t most_per_worker = 0;
    /// Allows several concurrent runs of one task.
    bool speculative = false;
    /// Runs until the job is cancelled; restarted whenever a run ends, also after success.
    bool long_running = false;
};

/// A submitted job, with the service level of its queue at the time of submission. Service levels
/// are promises, so a later configuration does not change them.
struct job_spec {
    job_id id;
    queue_id queue;
    /// The name of the workspace when the job was submitted; empty if it was without a key.
    workspace_id workspace;
    /// The workspace, as far as the scheduler that accepted the job knew it.
    workspace_identity owner;
    /// The service of the queue when the job was submitted; see `scheduler::update_service`.
    service_id service;
    /// The configuration that says so.
    config_version config;
    /// Zero is the highest priority.
    std::uint32_t priority = 0;
    std::uint32_t most_attempts = 1;
    double slack_factor = 1;
    duration target_completion{};
    wall_time submitted{};
    /// Passed unchanged to the worker with each start.
    std::string payload;
    std::vector<step_spec> steps;
    /// Number of scheduled occurrences; zero means that the job runs once, as soon as possible.
    std::uint32_t occurrences = 0;
    wall_time first_due{};
    duration interval{};
};

/// Maximum number of tasks in one occurrence of a job.
constexpr std::uint64_t max_tasks_per_job = 5'000;
/// Maximum number of occurrences of a job.
constexpr std::uint32_t max_occurrences = 10'000;

/// Usual upper bounds for the parts of a progress record, in bytes: a task that has begun, the
/// frame of a step, and an occurrence, which is listed even when it is done.
constexpr std::size_t stored_task_bytes = 50;
constexpr std::size_t stored_step_bytes = 4;
constexpr std::size_t stored_occurrence_bytes = 8;

/// @param begun how many occurrences have begun and are not done
/// @return the size of the job's progress record that is to be expected, in bytes
std::size_t expected_progress_bytes(const job_spec& spec, std::size_t begun);

/// Checks that the store takes the records of a job.
///
/// @param max_record_bytes what the value of a record may have
/// @return nothing, or `invalid` with its remedy
result<void> check_storable(const job_spec& spec, std::size_t max_record_bytes);

/// Checks a job against the rules for submissions.
///
/// @return nothing, or a failure with its remedy
result<void> validate(const job_spec& spec);

/// @return the estimated run time of the longest chain of dependent steps
duration critical_path_time(const job_spec& spec);

/// @return for how long a task of the step is expected to keep its resources; the estimate of a
/// task
///         that runs until its job is cancelled says nothing about that
duration expected_occupation(const step_spec& step);

/// @return whether a step of the job runs until the job is cancelled
bool has_long_running_step(const job_spec& spec);

/// @return the job, or `invalid` if the record violates a rule
result<job_spec> from_wire(const wire::WorkloadSubmission& record);
wire::WorkloadSubmission to_wire(const job_spec& spec);

}  // namespace baobabrack::workload

#endif
