#ifndef BAOBABRACK_GANGS_PLANNER_FEED_HPP
#define BAOBABRACK_GANGS_PLANNER_FEED_HPP

#include <set>

#include "baobabrack/gangs/job_listener.hpp"
#include "baobabrack/units/ids.hpp"

namespace baobabrack {

class job_state;
class planner;
class runtime;

/// Tells a planner of every transition of the jobs.
class planner_feed : public job_listener {
public:
    /// Tells the planner of the jobs that are there already, too.
    planner_feed(job_state& state, planner& planning, runtime& loop);
    ~planner_feed() override;

    void job_queued(const job& queued) override;
    void gang_committed(const job& committed) override;
    void gang_stopping(const job& stopping) override;
    void gang_released(const job& ended, const std::vector<job_member>& members,
                       wire::StopReason reason) override;
    void job_ended(const job& ended) override;
    void state_loaded() override;

private:
    void tell_all();
    void tell_tasks(const job& ended, const std::vector<job_member>& members,
                    wire::StopReason reason);

    job_state& state_;
    planner& planning_;
    runtime& loop_;
    // What the planner has been told, so that a snapshot can take it back.
    std::set<job_id> queued_;
    std::set<job_id> started_;
};

}  // namespace baobabrack

#endif
