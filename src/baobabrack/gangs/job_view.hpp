#ifndef BAOBABRACK_GANGS_JOB_VIEW_HPP
#define BAOBABRACK_GANGS_JOB_VIEW_HPP

#include <optional>
#include <string>
#include <vector>

#include "baobabrack/gangs/job.hpp"
#include "baobabrack/placement/planner.hpp"

namespace baobabrack {

/// One member of a live attempt, as this entry has heard of it.
struct member_view {
    worker_id worker;
    std::uint32_t count = 0;
    /// Phase of the task, such as "running"; "unknown" if nothing was heard.
    std::string phase;
};

/// All there is to say about a job.
struct job_view {
    job details;
    /// Set while the job is queued.
    std::optional<wait_report> wait;
    std::vector<member_view> members;
    /// Least progress that was heard of any member.
    std::chrono::milliseconds progress{};
    /// What is going on, in a sentence.
    std::string status;
};

}  // namespace baobabrack

#endif
