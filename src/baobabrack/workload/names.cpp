#include "baobabrack/workload/names.hpp"

#include "baobabrack/workload.pb.h"

namespace baobabrack::workload {

std::string to_text(const task_name& task) {
    return task.step.job.get() + "." + std::to_string(task.step.occurrence) + "." +
           std::to_string(task.step.step) + "." + std::to_string(task.index);
}

task_name from_wire(const wire::WorkloadTaskName& task) {
    return {
        .step = {.job = job_id{task.job()}, .occurrence = task.occurrence(), .step = task.step()},
        .index = task.index()};
}

wire::WorkloadTaskName to_wire(const task_name& task) {
    wire::WorkloadTaskName name;
    name.set_job(task.step.job.get());
    name.set_occurrence(task.step.occurrence);
    name.set_step(task.step.step);
    name.set_index(task.index);
    return name;
}

}  // namespace baobabrack::workload
