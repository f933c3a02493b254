#ifndef BAOBABRACK_WORKLOAD_NAMES_HPP
#define BAOBABRACK_WORKLOAD_NAMES_HPP

#include <compare>
#include <cstdint>
#include <string>

#include "baobabrack/units/ids.hpp"

namespace baobabrack::wire {
class WorkloadTaskName;
}

namespace baobabrack::workload {

using host_id = strong_type<struct host_tag, std::string>;
using queue_id = strong_type<struct queue_tag, std::string>;
using label = strong_type<struct label_tag, std::string>;
using config_version = strong_type<struct config_version_tag, std::uint64_t>;

/// Identifies a workspace through changes of its name and its keys; zero means none.
using workspace_identity = strong_type<struct workspace_identity_tag, std::uint64_t>;

/// Number of a run of a task, starting at 1; zero means no run.
using run_number = strong_type<struct run_tag, std::uint32_t>;

/// Identifies a step of one occurrence of a job.
struct step_name {
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    friend auto operator<=>(const step_name&, const step_name&) = default;
};

/// Identifies one task of a step.
struct task_name {
    step_name step;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_name&, const task_name&) = default;
};

/// Identifies one incarnation of the worker on a host: a restarted worker is another instance.
struct worker_instance {
    host_id host;
    worker_id worker;
    incarnation version;

    friend auto operator<=>(const worker_instance&, const worker_instance&) = default;
};

/// @return "JOB.OCCURRENCE.STEP.INDEX", for log lines
std::string to_text(const task_name& task);

task_name from_wire(const wire::WorkloadTaskName& task);
wire::WorkloadTaskName to_wire(const task_name& task);

}  // namespace baobabrack::workload

#endif
