#ifndef BAOBABRACK_FAKES_FAKE_PLANNER_HPP
#define BAOBABRACK_FAKES_FAKE_PLANNER_HPP

#include <map>
#include <set>

#include "baobabrack/placement/planner.hpp"

namespace baobabrack::fakes {

/// Starts waiting jobs in the order of their ids on the first workers with free capacity,
/// regardless of location. `stop` makes the next plan stop a gang.
class fake_planner : public planner {
public:
    explicit fake_planner(const fleet& workers) : workers_(workers) {}

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

    void stop(const job_id& job) { stops_.insert(job); }
    void refuse(const job_id& job) { refusals_.insert(job); }

    /// Places no gang on the worker until `allow`.
    void avoid(const worker_id& worker) { avoided_.insert(worker); }
    void allow(const worker_id& worker) { avoided_.erase(worker); }

    std::uint64_t failed_tasks() const { return failed_tasks_; }

private:
    std::vector<gang_member> place_members(const planned_job& job,
                                           std::map<worker_id, resources>& allocated) const;

    const fleet& workers_;
    std::map<job_id, planned_job> waiting_;
    std::map<job_id, std::vector<gang_member>> pending_;
    std::set<job_id> stops_;
    std::set<job_id> refusals_;
    std::set<worker_id> avoided_;
    std::uint64_t failed_tasks_ = 0;
};

}  // namespace baobabrack::fakes

#endif
