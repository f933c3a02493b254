#ifndef BAOBABRACK_GANGS_JOB_STATE_HPP
#define BAOBABRACK_GANGS_JOB_STATE_HPP

#include <cstddef>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/gangs/job.hpp"
#include "baobabrack/ledger/replicated_state.hpp"
#include "baobabrack/world/fleet.hpp"

namespace baobabrack {

class job_listener;

/// Every worker and every job, as the log has them. Which grants are valid is decided here alone.
class job_state : public replicated_state {
public:
    struct options {
        /// Ended jobs are kept this long, by the log's clock, and at most this many of them.
        std::chrono::milliseconds ended_memory = std::chrono::hours{1};
        std::size_t most_ended = 10'000;
    };

    explicit job_state(options opts);

    std::string_view name() const override { return "jobs"; }
    bool handles(const wire::Record& record) const override;
    result<void> apply(const wire::Record& record, const record_position& position) override;
    std::string save() const override;
    result<void> load(std::string_view data) override;

    const fleet& workers() const { return fleet_; }
    /// For planners, which listen to the fleet; only records change it.
    fleet& workers() { return fleet_; }

    /// Adds or removes a listener of the fleet; it must outlive the state or be removed first.
    void listen(fleet_listener& listener) { fleet_.add_listener(listener); }
    void forget(fleet_listener& listener) { fleet_.remove_listener(listener); }

    /// Adds or removes a listener of the jobs; it must outlive the state or be removed first.
    void listen(job_listener& listener);
    void forget(job_listener& listener);

    /// @return the worker as the platform announced it; null if it is not in the fleet
    const wire::WorkerFacts* find_facts(const worker_id& id) const;

    /// @return the job, also one that ended lately; null if it is not known
    const job* find(const job_id& id) const;

    /// @return every job that is not pruned, in the order of their ids
    const std::map<job_id, job>& jobs() const { return jobs_; }

    /// @return jobs whose attempt holds resources on the worker, in any incarnation of it
    const std::set<job_id>& holders(const worker_id& id) const;

    /// @return how many jobs have not ended
    std::size_t live() const { return jobs_.size() - ended_.size(); }

private:
    friend class job_codec;

    result<void> apply_joined(const wire::WorkerJoined& joined);
    result<void> apply_left(const wire::WorkerLeft& left);
    result<void> apply_submitted(const wire::JobSubmitted& submitted, wall_time at);
    result<void> apply_committed(const wire::GangCommitted& committed,
                                 const record_position& position);
    result<void> apply_stopping(const wire::GangStopping& stopping,
                                const record_position& position);
    result<void> apply_released(const wire::GangReleased& released, wall_time at);
    result<void> apply_finished(const wire::JobFinished& finished, wall_time at);
    result<void> apply_cancel(const wire::JobCancelRequested& request,
                              const record_position& position);

    bool has_lost_member(const job& holder) const;
    void take_members(const job& holder);
    std::vector<job_member> give_back_members(job& holder);
    void begin_stop(job& target, wire::StopReason reason, const record_position& position);
    void end(job& target, job_phase phase, std::string message, wall_time at);
    void enqueue(job& target, wall_time at);
    void prune(wall_time at);
    void replace(std::vector<wire::WorkerFacts> facts, std::map<job_id, job> jobs,
                 std::deque<job_id> ended);
    void notify(const std::function<void(job_listener&)>& call);

    options options_;
    fleet fleet_;
    std::map<worker_id, wire::WorkerFacts> facts_;
    std::map<job_id, job> jobs_;
    std::map<worker_id, std::set<job_id>> holders_;
    std::deque<job_id> ended_;
    std::vector<job_listener*> listeners_;
};

}  // namespace baobabrack

#endif
