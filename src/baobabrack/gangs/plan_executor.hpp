#ifndef BAOBABRACK_GANGS_PLAN_EXECUTOR_HPP
#define BAOBABRACK_GANGS_PLAN_EXECUTOR_HPP

#include <functional>
#include <map>
#include <memory>
#include <set>

#include "baobabrack/gangs/gang_context.hpp"
#include "baobabrack/gangs/gang_start.hpp"
#include "baobabrack/gangs/job.hpp"
#include "baobabrack/placement/planner.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"

namespace baobabrack {

class gang_proposals;

/// Carries out what the planner decides about jobs that this entry acts for.
class plan_executor {
public:
    /// Hears of a worker's reply, for the reports in it.
    using heard = std::function<void(const worker_id&, const wire::WorkerReply&)>;

    plan_executor(gang_context& context, gang_proposals& proposals, heard on_reply);

    /// Plans at the end of this loop turn, once however often it is asked for.
    void plan_soon();

    /// Plans at once, and gives up on plans that another entry has not carried out.
    void plan_now();

    /// @return whether a gang is being prepared or its commit is open
    bool is_starting(const job_id& id) const { return starts_.count(id) != 0; }

    /// Gives up a start, if there is one; what was prepared is released.
    void abandon(const job_id& id);

    /// Follows the job's transitions.
    void committed(const job& gang);
    void released(const job_id& id);
    void ended(const job_id& id);
    void reset();

private:
    void carry_out(const plan& decided);
    void start_gang(const planned_start& start);
    void on_start_ended(const job_id& id, gang_start::end how, const worker_id& culprit);
    void preempt(const planned_stop& stop);
    void checkpoint_then(const job& gang, const std::function<void()>& next);
    void refuse(const planned_refusal& refusal);
    void drop_foreign_plans();

    gang_context& context_;
    gang_proposals& proposals_;
    heard on_reply_;
    scoped_timer plan_timer_;
    std::map<job_id, std::shared_ptr<gang_start>> starts_;
    // Attempts that were tried; a number is not used again because workers may have fenced it.
    std::map<job_id, attempt_number> tried_;
    // When a start of a job that another entry acts for was planned.
    std::map<job_id, time_point> foreign_;
    std::set<job_id> preempting_;
    std::shared_ptr<int> alive_;
};

}  // namespace baobabrack

#endif
