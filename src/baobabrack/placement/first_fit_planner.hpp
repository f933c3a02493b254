#ifndef BAOBABRACK_PLACEMENT_FIRST_FIT_PLANNER_HPP
#define BAOBABRACK_PLACEMENT_FIRST_FIT_PLANNER_HPP

#include <cstdint>
#include <map>
#include <unordered_map>
#include <vector>

#include "baobabrack/placement/fleet_index.hpp"
#include "baobabrack/placement/planner.hpp"
#include "baobabrack/placement/worker_health.hpp"

namespace baobabrack {

struct first_fit_options {
    /// Keep work off workers that fail it, as the guarantee planner does.
    bool quarantine = false;
};

/// First come, first fit, in the strict order of the queue: the head of the queue holds up
/// everything behind it. It honours adjacency, and knows no guarantees, urgency or preemption.
/// The baseline that other planners are measured against.
class first_fit_planner final : public planner {
public:
    /// @param workers outlives the planner
    first_fit_planner(first_fit_options options, fleet& workers);

    void job_queued(const planned_job& job) override;
    void gang_started(const planned_job& job, const std::vector<gang_member>& members,
                      time_point at) override;
    void gang_ended(const job_id& job, gang_end how, time_point at) override;
    void job_dropped(const job_id& job) override;
    void directory_changed() override {}
    void task_ended(const worker_id& worker, const job_id& job, bool failed,
                    time_point at) override;
    plan decide(time_point now) override;
    void start_failed(const job_id& job, const worker_id& culprit, time_point at) override;
    std::optional<wait_report> explain(const job_id& job, time_point now) const override;

private:
    struct starting_gang {
        planned_job job;
        std::vector<held_share> held;
    };

    bool start_head(plan& decided);
    void end_hold(const job_id& job);

    void set_barred(const worker_id& worker, bool barred);

    first_fit_options options_;
    fleet_index index_;
    worker_health health_;
    std::map<std::uint64_t, planned_job> queue_;
    std::unordered_map<job_id, std::uint64_t> position_;
    std::unordered_map<job_id, starting_gang> starting_;
    std::uint64_t next_ = 0;
};

}  // namespace baobabrack

#endif
