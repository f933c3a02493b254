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
    plan decided;
    for (const auto& job : stops_) {
        decided.stops.push_back({.job = job, .beneficiary = job_id{"another"}});
    }
    for (const auto& job : refusals_) {
        decided.refusals.push_back(
            {.job = job, .reason = "no rack is that large", .remedy = "ask for less"});
    }
    stops_.clear();
    refusals_.clear();
    std::map<worker_id, resources> taken;
    for (const auto& [id, members] : pending_) {
        for (const auto& member : members) {
            taken[member.worker].add(from_wire(waiting_.at(id).shape.per_member()), member.count);
        }
    }
    for (const auto& [id, job] : waiting_) {
        if (pending_.count(id) != 0) {
            continue;
        }
        if (auto members = fit(job, taken); !members.empty()) {
            pending_[id] = members;
            decided.starts.push_back({.job = id, .members = std::move(members)});
        }
    }
    return decided;
}

std::vector<gang_member> fake_planner::fit(const planned_job& job,
                                           std::map<worker_id, resources>& taken) const {
    const auto part = from_wire(job.shape.per_member());
    std::vector<gang_member> members;
    auto left = job.shape.members();
    for (const auto& [id, one] : workers_.workers()) {
        auto free = one.free;
        if (const auto known = taken.find(id); known != taken.end()) {
            if (!free.can_fit(known->second)) {
                continue;
            }
            free.subtract(known->second);
        }
        const auto count = avoided_.count(id) != 0 ? 0 : std::min(left, free.fit_count(part));
        if (count == 0) {
            continue;
        }
        members.push_back({.worker = id, .count = count});
        left -= count;
        if (left == 0) {
            break;
        }
    }
    if (left != 0) {
        return {};
    }
    for (const auto& member : members) {
        taken[member.worker].add(part, member.count);
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
