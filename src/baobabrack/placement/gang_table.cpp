#include "baobabrack/placement/gang_table.hpp"

#include <algorithm>
#include <chrono>

namespace baobabrack {

namespace {

const std::vector<gang_table::gang_index> no_gangs;
/// Stands for the weight of a gang that uses no accelerator.
constexpr double processor_weight = 0.05;

double weight_of(const place_query& query) {
    return std::max(static_cast<double>(query.accelerators()), processor_weight);
}

}  // namespace

duration active_gang::attained(time_point now) const {
    return starting ? job.saved : job.saved + (now - started);
}

double active_gang::lost_work(time_point now) const {
    using namespace std::chrono_literals;
    /// Stands for what stopping and restarting costs by itself.
    constexpr duration restart_cost = 30s;
    const duration lost = job.checkpointable ? restart_cost : restart_cost + (now - started);
    return std::chrono::duration<double>(lost).count() * weight_of(query);
}

gang_table::gang_index gang_table::add(active_gang&& gang) {
    if (unused_.empty()) {
        unused_.push_back(static_cast<gang_index>(gangs_.size()));
        gangs_.emplace_back();
    }
    const auto index = unused_.back();
    unused_.pop_back();
    gang.in_use = true;
    by_job_.emplace(gang.job.id, index);
    for (const auto& member : gang.members) {
        if (member.slot >= by_slot_.size()) {
            by_slot_.resize(member.slot + 1);
        }
        by_slot_[member.slot].push_back(index);
    }
    gangs_[index] = std::move(gang);
    return index;
}

void gang_table::remove(gang_index index) {
    auto& gang = gangs_[index];
    for (const auto& member : gang.members) {
        auto& there = by_slot_[member.slot];
        there.erase(std::remove(there.begin(), there.end(), index), there.end());
    }
    by_job_.erase(gang.job.id);
    gang = {};
    unused_.push_back(index);
}

std::optional<gang_table::gang_index> gang_table::find(const job_id& job) const {
    const auto found = by_job_.find(job);
    return found == by_job_.end() ? std::nullopt : std::optional(found->second);
}

const std::vector<gang_table::gang_index>& gang_table::on(worker_slot slot) const {
    return slot < by_slot_.size() ? by_slot_[slot] : no_gangs;
}

std::vector<slot_share> plain_shares(const std::vector<held_share>& members) {
    std::vector<slot_share> shares;
    shares.reserve(members.size());
    for (const auto& member : members) {
        shares.push_back({member.slot, member.count});
    }
    return shares;
}

}  // namespace baobabrack
