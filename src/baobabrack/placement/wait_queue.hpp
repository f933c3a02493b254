#ifndef BAOBABRACK_PLACEMENT_WAIT_QUEUE_HPP
#define BAOBABRACK_PLACEMENT_WAIT_QUEUE_HPP

#include <cstdint>
#include <map>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "baobabrack/placement/place_search.hpp"
#include "baobabrack/placement/planner.hpp"

namespace baobabrack {

/// A job that waits, with its place in the order.
struct waiting_job {
    planned_job job;
    place_query query;
    /// Lower goes first among jobs that are equally urgent.
    double rank = 0;
    std::uint64_t sequence = 0;
    /// Held back by its workspace's quota.
    bool parked = false;
};

/// Jobs that wait. Those that any place suits equally form a group, so that a decision looks at
/// the heads of groups and never at the whole queue.
class wait_queue {
public:
    using order = std::pair<double, std::uint64_t>;

    /// Waiting jobs of one shape, region and kind.
    struct group {
        place_query query;
        bool urgent = false;
        bool checkpointable = false;
        /// No place was found since the last time that resources came free.
        bool blocked = false;
        std::set<std::pair<order, job_id>> jobs;
    };

    /// Adds a job; one of the same id is replaced.
    void add(const planned_job& job, double rank);

    /// @return whether the job waited
    bool remove(const job_id& job);

    const waiting_job* find(const job_id& job) const;

    /// Sets a job aside until its workspace holds less.
    void park(const job_id& job);

    /// Puts the first parked jobs of a workspace back, up to a number of accelerators.
    void unpark(const workspace_id& workspace, std::uint32_t accelerators);

    /// Resources came free: every group may find a place again.
    void unblock();

    std::vector<group>& groups() { return groups_; }
    const std::vector<group>& groups() const { return groups_; }

    /// @return the first job of the workspace, parked ones excepted, whose shape satisfies `wanted`
    template <typename Predicate>
    const waiting_job* first_of(const workspace_id& workspace, Predicate wanted) const;

    /// @return multi-accelerator jobs by the time they were submitted
    const std::set<std::pair<time_point, job_id>>& by_age() const { return by_age_; }

    /// @return how many jobs of the same kind go first, and this one
    std::uint32_t position(const waiting_job& waiting) const;

    std::size_t size() const { return jobs_.size(); }

private:
    using ordered_jobs = std::set<std::pair<order, job_id>>;

    struct shape_jobs {
        place_query query;
        ordered_jobs jobs;
    };

    group& group_of(const waiting_job& waiting);
    shape_jobs& shape_of(const waiting_job& waiting);
    void insert(const waiting_job& waiting);
    void erase(const waiting_job& waiting);

    std::unordered_map<job_id, waiting_job> jobs_;
    std::vector<group> groups_;
    std::unordered_map<workspace_id, std::vector<shape_jobs>> by_workspace_;
    std::unordered_map<workspace_id, ordered_jobs> parked_;
    std::set<std::pair<time_point, job_id>> by_age_;
    std::uint64_t next_ = 0;
};

template <typename Predicate>
const waiting_job* wait_queue::first_of(const workspace_id& workspace, Predicate wanted) const {
    const auto found = by_workspace_.find(workspace);
    if (found == by_workspace_.end()) {
        return nullptr;
    }
    const std::pair<order, job_id>* first = nullptr;
    for (const auto& one : found->second) {
        if (one.jobs.empty() || !wanted(one.query)) {
            continue;
        }
        if (first == nullptr || *one.jobs.begin() < *first) {
            first = &*one.jobs.begin();
        }
    }
    return first == nullptr ? nullptr : find(first->second);
}

}  // namespace baobabrack

#endif
