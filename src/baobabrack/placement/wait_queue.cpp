#include "baobabrack/placement/wait_queue.hpp"

#include <algorithm>
#include <iterator>

namespace baobabrack {

namespace {

std::pair<wait_queue::order, job_id> entry_of(const waiting_job& waiting) {
    return {{waiting.rank, waiting.sequence}, waiting.job.id};
}

bool ages(const waiting_job& waiting) {
    return waiting.query.accelerators() > 1;
}

}  // namespace

wait_queue::group& wait_queue::group_of(const waiting_job& waiting) {
    const auto& job = waiting.job;
    const auto found = std::find_if(groups_.begin(), groups_.end(), [&](const group& one) {
        return one.urgent == job.urgent && one.checkpointable == job.checkpointable &&
               one.query == waiting.query;
    });
    if (found != groups_.end()) {
        return *found;
    }
    const auto unused = std::find_if(groups_.begin(), groups_.end(),
                                     [](const group& one) { return one.jobs.empty(); });
    auto& made = unused == groups_.end() ? groups_.emplace_back() : *unused;
    made.query = waiting.query;
    made.urgent = job.urgent;
    made.checkpointable = job.checkpointable;
    made.blocked = false;
    return made;
}

wait_queue::shape_jobs& wait_queue::shape_of(const waiting_job& waiting) {
    auto& shapes = by_workspace_[waiting.job.workspace];
    const auto same = std::find_if(shapes.begin(), shapes.end(), [&](const shape_jobs& one) {
        return one.query == waiting.query;
    });
    if (same != shapes.end()) {
        return *same;
    }
    const auto unused = std::find_if(shapes.begin(), shapes.end(),
                                     [](const shape_jobs& one) { return one.jobs.empty(); });
    auto& made = unused == shapes.end() ? shapes.emplace_back() : *unused;
    made.query = waiting.query;
    return made;
}

void wait_queue::insert(const waiting_job& waiting) {
    const auto entry = entry_of(waiting);
    group_of(waiting).jobs.insert(entry);
    shape_of(waiting).jobs.insert(entry);
    if (ages(waiting)) {
        by_age_.emplace(waiting.job.submitted, waiting.job.id);
    }
}

void wait_queue::erase(const waiting_job& waiting) {
    const auto entry = entry_of(waiting);
    group_of(waiting).jobs.erase(entry);
    shape_of(waiting).jobs.erase(entry);
    by_age_.erase({waiting.job.submitted, waiting.job.id});
}

void wait_queue::add(const planned_job& job, double rank) {
    remove(job.id);
    const waiting_job waiting{
        .job = job, .query = query_of(job), .rank = rank, .sequence = next_++, .parked = false};
    insert(waiting);
    jobs_.emplace(job.id, waiting);
}

bool wait_queue::remove(const job_id& job) {
    const auto found = jobs_.find(job);
    if (found == jobs_.end()) {
        return false;
    }
    if (found->second.parked) {
        parked_[found->second.job.workspace].erase(entry_of(found->second));
    } else {
        erase(found->second);
    }
    jobs_.erase(found);
    return true;
}

const waiting_job* wait_queue::find(const job_id& job) const {
    const auto found = jobs_.find(job);
    return found == jobs_.end() ? nullptr : &found->second;
}

void wait_queue::park(const job_id& job) {
    auto& waiting = jobs_.at(job);
    if (waiting.parked) {
        return;
    }
    erase(waiting);
    waiting.parked = true;
    parked_[waiting.job.workspace].insert(entry_of(waiting));
}

void wait_queue::unpark(const workspace_id& workspace, std::uint32_t accelerators) {
    const auto found = parked_.find(workspace);
    if (found == parked_.end()) {
        return;
    }
    while (!found->second.empty()) {
        auto& waiting = jobs_.at(found->second.begin()->second);
        const auto wanted = waiting.query.accelerators();
        if (wanted > accelerators) {
            return;
        }
        accelerators -= wanted;
        found->second.erase(found->second.begin());
        waiting.parked = false;
        insert(waiting);
    }
    parked_.erase(found);
}

void wait_queue::unblock() {
    for (auto& one : groups_) {
        one.blocked = false;
    }
}

std::uint32_t wait_queue::position(const waiting_job& waiting) const {
    const auto entry = entry_of(waiting);
    for (const auto& one : groups_) {
        const auto found = one.jobs.find(entry);
        if (found != one.jobs.end()) {
            return static_cast<std::uint32_t>(std::distance(one.jobs.begin(), found)) + 1;
        }
    }
    return 1;
}

}  // namespace baobabrack
