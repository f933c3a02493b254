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

/// Numbers the runs of one task from 1; zero stands for no run.
using run_number = strong_type<struct run_tag, std::uint32_t>;

/// A step of one occurrence of a job.
struct step_name {
    job_id job;
    std::uint32_t occurrence = 0;
    std::uint32_t step = 0;

    friend auto operator<=>(const step_name&, const step_name&) = default;
};

/// One task of a step.
struct task_name {
    step_name step;
    std::uint32_t index = 0;

    friend auto operator<=>(const task_name&, const task_name&) = default;
};

/// One life of the worker on a host.
struct worker_life {
    host_id host;
    worker_id worker;
    incarnation life;

    friend auto operator<=>(const worker_life&, const worker_life&) = default;
};

/// @return "JOB.OCCURRENCE.STEP.INDEX", for logs
std::string to_text(const task_name& task);

task_name from_wire(const wire::WorkloadTaskName& task);
wire::WorkloadTaskName to_wire(const task_name& task);

}  // namespace baobabrack::workload

#endif
