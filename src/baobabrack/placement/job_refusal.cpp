#include "baobabrack/placement/job_refusal.hpp"

#include <string>

#include "baobabrack/placement/capacity_view.hpp"
#include "baobabrack/placement/place_search.hpp"

namespace baobabrack {

namespace {

bool knows_workers(const capacity_view& capacity) {
    place_query smallest;
    smallest.members = 1;
    return most_members(capacity, smallest) > 0;
}

}  // namespace

std::optional<planned_refusal> refuse_if_never(const capacity_view& capacity,
                                               const planned_job& job) {
    auto query = query_of(job);
    const auto most = most_members(capacity, query);
    if (most >= query.members || !knows_workers(capacity)) {
        return std::nullopt;
    }
    planned_refusal refusal;
    refusal.job = job.id;
    refusal.reason = "no place holds " + describe(query) + " even when it is empty";
    if (most == 0) {
        refusal.remedy = "ask for less per member, or for another region or data centre";
        return refusal;
    }
    query.members = most;
    refusal.remedy = "ask for at most " + describe(query) + ", or for a wider adjacency";
    return refusal;
}

std::optional<planned_refusal> refuse_above_quota(std::uint32_t accelerator_quota,
                                                  const planned_job& job) {
    const auto wanted = query_of(job).accelerators();
    if (accelerator_quota == 0 || wanted <= accelerator_quota) {
        return std::nullopt;
    }
    planned_refusal refusal;
    refusal.job = job.id;
    refusal.reason = "the job needs " + std::to_string(wanted) + " accelerators and the quota of " +
                     job.workspace.get() + " is " + std::to_string(accelerator_quota);
    refusal.remedy = "ask for at most " + std::to_string(accelerator_quota) +
                     " accelerators, or raise accelerator_quota by a ticket";
    return refusal;
}

}  // namespace baobabrack
