#include "fakes/fake_planner.hpp"

#include <algorithm>

namespace baobabrack::fakes {

void fake_planner::job_queued(const planned_job& job) {
    waiting_[job.id] = job;
    pending_.erase(job.id);
}

void fake_planner::gang_started(const planned_job& job, const std::vector<gang_member>& /*members*/,
                                time_point /*at*/) {
    waiting_.erase(job.id);
    pending_.erase(job.id);
}

void fake_planner::gang_ended(const job_id& /*job*/, gang_end /*how*/, time_point /*at*/) {
}

void fake_planner::job_dropped(const job_id& job) {
    waiting_.erase(job);
    pending_.erase(job);
}

void fake_planner::task_ended(const worker_id& /*worker*/, const job_id& /*job*/, bool failed,
                              time_point /*at*/) {
    failed_tasks_ += failed ? 1 : 0;
}

plan fake_planner::decide(time_point /*now*/) {
    plan decisions;
    for (const auto& job : stops_) {
        decisions.stops.push_back({.job = job, .beneficiary = job_id{"another"}});
    }
    for (const auto& job : refusals_) {
        decisions.refusals.push_back(
            {.job = job, .reason = "no rack is that large", .remedy = "ask for less"});
    }
    stops_.clear();
    refusals_.clear();
    std::map<worker_id, resources> allocated;
    for (const auto& [id, members] : pending_) {
        for (const auto& member : members) {
            allocated[member.worker].add(from_wire(waiting_.at(id).shape.per_member()),
                                         member.count);
        }
    }
    for (const auto& [id, job] : waiting_) {
        if (pending_.count(id) != 0) {
            continue;
        }
        if (auto members = place_members(job, allocated); !members.empty()) {
            pending_[id] = members;
            decisions.starts.push_back({.job = id, .members = std::move(members)});
        }
    }
    return decisions;
}

std::vector<gang_member> fake_planner::place_members(
    const planned_job& job, std::map<worker_id, resources>& allocated) const {
    const auto member_size = from_wire(job.shape.per_member());
    std::vector<gang_member> members;
    auto remaining = job.shape.members();
    for (const auto& [id, worker] : workers_.workers()) {
        auto free = worker.free;
        if (const auto known = allocated.find(id); known != allocated.end()) {
            if (!free.can_fit(known->second)) {
                continue;
            }
            free.subtract(known->second);
        }
        const auto count =
            avoided_.count(id) != 0 ? 0 : std::min(remaining, free.fit_count(member_size));
        if (count == 0) {
            continue;
        }
        members.push_back({.worker = id, .count = count});
        remaining -= count;
        if (remaining == 0) {
            break;
        }
    }
    if (remaining != 0) {
        return {};
    }
    for (const auto& member : members) {
        allocated[member.worker].add(member_size, member.count);
    }
    return members;
}

void fake_planner::start_failed(const job_id& job, const worker_id& /*culprit*/,
                                time_point /*at*/) {
    pending_.erase(job);
}

std::optional<wait_report> fake_planner::explain(const job_id& job, time_point /*now*/) const {
    const auto found = waiting_.find(job);
    if (found == waiting_.end()) {
        return std::nullopt;
    }
    return wait_report{
        .position = static_cast<std::uint32_t>(std::distance(waiting_.begin(), found) + 1),
        .waits_for = "room for " + std::to_string(found->second.shape.members()) + " members",
        .remedy = "wait"};
}

}  // namespace baobabrack::fakes
