#include "baobabrack/workload/queue_order.hpp"

#include <algorithm>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload/preemption.hpp"

namespace baobabrack::workload {

namespace {

// Jobs whose age exceeds this multiple of their objective have no value any more.
constexpr int max_lateness_factor = 3;
// Base ranks of groups that are past their objective and of groups without value.
constexpr double late_rank = 1e6;
constexpr double no_value_rank = 2e6;

// Returns when the objective of an occurrence begins to count.
wall_time start_of(const job_spec& spec, const occurrence_progress& occurrence) {
    const auto offset = std::chrono::duration_cast<std::chrono::milliseconds>(spec.interval) *
                        static_cast<std::int64_t>(occurrence.number);
    return spec.occurrences == 0 ? spec.submitted : spec.first_due + offset;
}

// Returns for how long the objective of the earliest open occurrence has been counting.
duration age_of(const job_spec& spec, const job_progress& progress, wall_time wall_now) {
    for (const auto& occurrence : progress.occurrences) {
        if (!occurrence.done) {
            return wall_now - start_of(spec, occurrence);
        }
    }
    return wall_now - spec.submitted;
}

double remaining_work(const job_spec& spec, const job_progress& progress) {
    double work = 0;
    for (const auto& occurrence : progress.occurrences) {
        for (std::size_t at = 0; at < occurrence.steps.size(); ++at) {
            const auto& step = spec.steps[at];
            const auto left = std::count_if(
                occurrence.steps[at].begin(), occurrence.steps[at].end(),
                [](const task_progress& task) { return task.phase != task_phase::done; });
            work += static_cast<double>(left) * work_per_second(step.per_task) *
                    to_seconds(step.estimated);
        }
    }
    return work;
}

}  // namespace

duration objective_of(const job_spec& spec) {
    return from_seconds(to_seconds(critical_path_time(spec)) * spec.slack_factor) +
           spec.target_completion;
}

double rank_of(const job_spec& spec, const job_progress& progress, wall_time wall_now) {
    const auto work = std::min(remaining_work(spec, progress), late_rank / 2);
    const auto objective = objective_of(spec);
    const auto age = age_of(spec, progress, wall_now);
    if (age > objective * max_lateness_factor) {
        return no_value_rank + work;
    }
    return age > objective ? late_rank + work : work;
}

}  // namespace baobabrack::workload
