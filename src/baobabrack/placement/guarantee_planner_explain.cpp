#include <algorithm>
#include <string>

#include "baobabrack/placement/guarantee_planner.hpp"

namespace baobabrack {

std::optional<wait_report> guarantee_planner::explain(const job_id& job, time_point) const {
    wait_report report;
    const auto found = clearings_.find(job);
    if (found != clearings_.end()) {
        report.waits_for = "running work to be checkpointed and stopped on " +
                           std::to_string(found->second.place.size()) + " workers";
        report.remedy = "none is needed: it starts as soon as that has stopped";
        return report;
    }
    const auto* waiting = queue_.find(job);
    if (waiting == nullptr) {
        return std::nullopt;
    }
    report.position = queue_.position(*waiting);
    const auto& query = waiting->query;
    if (waiting->parked) {
        report.waits_for = "the quota of workspace " + waiting->job.workspace.get() + ", " +
                           std::to_string(quota_of(waiting->job.workspace)) + " accelerators";
        report.remedy = "wait for the workspace's own jobs, cancel some, or raise the quota";
        return report;
    }
    const auto most = most_members(index_.available(), query);
    report.waits_for = "room for " + describe(query) + "; the best place has room for " +
                       std::to_string(std::min(most, query.members));
    if (most >= query.members) {
        report.waits_for += ", which is promised to other workspaces";
        report.remedy = waiting->job.checkpointable
                            ? "none is needed: it starts with the next decision"
                            : "make the job checkpointable, so that it may borrow";
        return report;
    }
    report.remedy = "a wider adjacency, fewer members, or a guarantee of this shape";
    return report;
}

}  // namespace baobabrack
