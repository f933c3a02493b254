#ifndef BAOBABRACK_WORKLOAD_SCHEDULER_NODE_HPP
#define BAOBABRACK_WORKLOAD_SCHEDULER_NODE_HPP

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "baobabrack/keyed/conditional_writer.hpp"
#include "baobabrack/keyed/topic_end_reader.hpp"
#include "baobabrack/keyed/topic_follower.hpp"
#include "baobabrack/membership/peer_network.hpp"
#include "baobabrack/metrics/registry.hpp"
#include "baobabrack/workload/config_source.hpp"
#include "baobabrack/workload/guard_directory.hpp"
#include "baobabrack/workload/guard_sessions.hpp"
#include "baobabrack/workload/intake_writer.hpp"
#include "baobabrack/workload/peer_pings.hpp"
#include "baobabrack/workload/progress_parts.hpp"
#include "baobabrack/workload/scheduler.hpp"
#include "baobabrack/workload/workspace_registry.hpp"

namespace baobabrack::workload {

/// One of several scheduler replicas.
///
/// Every replica accepts submissions and cancellations and follows the state of all jobs in the
/// topics. One replica at a time is the leader. It makes the scheduling decisions, stores them with
/// an append that fails if another replica has written in the meantime, and then sends orders to
/// the guards.
class scheduler_node {
public:
    struct options {
        std::string id;
        incarnation version;
        std::string zmq_endpoint;
        scheduler::options scheduling;
        /// No run is placed while the configuration was last confirmed longer ago than this.
        duration max_config_age = std::chrono::milliseconds{2500};
        /// How long after the store has confirmed an evacuation a run may start there at the
        /// latest; zero if no bound is known.
        duration evacuation_bound{};
        /// Callers are answered from job state that was confirmed at most one and a half times this
        /// long ago.
        duration max_read_age = std::chrono::milliseconds{2000};
        /// Minimum time for which the state of an ended job is kept.
        duration status_retention = std::chrono::seconds{120};
        /// ZeroMQ endpoints of the schedulers to contact first.
        std::vector<std::string> seeds;
    };

    /// Services that the node uses. The caller owns them, and they must outlive the node.
    struct dependencies {
        runtime& loop;
        keyed_log& log;
        peer_network& network;
        const config_source& config;
        metrics_registry& metrics;
    };

    scheduler_node(options opts, dependencies deps);
    scheduler_node(const scheduler_node&) = delete;
    scheduler_node& operator=(const scheduler_node&) = delete;
    ~scheduler_node();

    void start();

    /// @return nothing, or `invalid` if the store would not take the records of the job
    result<void> check_storable(const job_spec& spec) const;

    /// Stores a job. The handler runs once, at the latest when the deadline has passed.
    void submit(const job_spec& spec, duration deadline, intake_writer::receipt_handler done);

    /// Stores a request to cancel a job. The handler runs as for `submit`.
    void cancel(const job_id& id, duration deadline, intake_writer::receipt_handler done);

    /// @return the table of stored jobs
    const job_table& jobs() const { return jobs_; }

    /// @return the workspaces up to the latest configuration
    const workspace_registry& workspaces();

    /// Notes the workspaces of a new configuration. Called for each version, so that none is missed
    /// that renames a workspace.
    void apply_config() { workspaces(); }

    /// Brings the job table up to the submissions and cancellations that are stored by now.
    ///
    /// @param done receives whether it has been
    void refresh_jobs(topic_end_reader::done_handler done) {
        intake_end_.read_to_end(std::move(done));
    }

    /// @return whether the job table was recently confirmed to be complete
    bool is_up_to_date() const;

    bool is_leader() const { return scheduler_ != nullptr; }

    /// @return the other schedulers
    const peer_pings& peers() const { return pings_; }

    /// @return whether the store answers this scheduler
    bool store_available() const;

    /// @return how long reads from the store have been failing, or zero if they succeed
    duration store_outage_duration() const { return intake_.outage_duration(); }

    /// Replaces the endpoints of the schedulers to contact first.
    void set_seeds(std::vector<std::string> seeds) { pings_.set_seeds(std::move(seeds)); }

    /// Gives up leadership, if this scheduler holds it, and never claims it again.
    void resign();

private:
    void tick();
    void apply_intake(const keyed_entry& entry);
    void apply_progress(const keyed_entry& entry);
    void apply_leader_record(const keyed_entry& entry);
    void apply_workspaces(const keyed_entry& entry);
    bool workspaces_changed() const {
        return workspaces_.revision() != stored_workspaces_revision_;
    }
    void maybe_claim_leadership();
    void claim_leadership();
    void become_leader();
    void step_down(const std::string& reason);
    void decide();
    void schedule_decision();
    void flush();
    void delete_expired_jobs();
    void delete_job(const job_id& id);
    void write_batch(progress_batch batch);
    std::string encode(progress_batch::change& change, std::size_t max_bytes);
    void write_next_part();
    void isolate_rejected(progress_part part);
    keyed_record make_leader_record(bool resigned);
    void handle_batch_stored(const progress_batch& batch, const std::vector<keyed_record>& records,
                             log_offset first);
    void handle_message(const std::string& sender, const wire::PeerMessage& message);
    void handle_report(const wire::WorkloadReport& message);
    void redirect_guard(const wire::WorkloadReport& message);
    void send_redirect(const std::string& guard);
    void send_orders(const host_id& host);
    bool leadership_confirmed() const;
    bool guards_reported() const;
    bool evacuations_recent() const;
    void add_evacuations(const host_id& host, wire::WorkloadOrders& orders) const;
    const workload_config* usable_config() const;
    void log_decisions();
    void update_metrics();

    options options_;
    dependencies deps_;
    job_table jobs_;
    topic_follower intake_;
    topic_end_reader intake_end_;
    topic_follower progress_;
    conditional_writer writer_;
    peer_pings pings_;
    intake_writer intake_writer_;
    std::unique_ptr<scheduler> scheduler_;
    // Since the process has started, under all of its leads.
    lost_work_totals lost_work_;
    guard_sessions sessions_;
    // Hosts whose guards have sent a report that has not been answered.
    std::set<host_id> replies_due_;
    // Ended jobs whose submission is being deleted, and those whose progress is deleted with the
    // next batch.
    std::set<job_id> pending_deletions_;
    std::vector<job_id> progress_deletions_;
    time_point last_cleanup_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    guard_directory guards_;
    // The parts of the current batch that have not been sent.
    std::deque<progress_part> parts_;
    time_point reduction_logged_{};
    // Jobs whose record the store has refused.
    std::vector<job_id> rejected_jobs_;
    std::uint64_t batch_count_ = 0;
    log_offset term_;
    bool claiming_ = false;
    bool resigning_ = false;
    std::string leader_id_;
    std::string leader_endpoint_;
    log_offset leader_offset_;
    workspace_registry workspaces_;
    std::optional<log_offset> workspaces_offset_;
    // The revision that is stored, or on its way to the store.
    std::uint64_t stored_workspaces_revision_ = 0;
    std::uint64_t leader_term_ = 0;
    bool leader_resigned_ = false;
    // When the leader's latest record was read, or the wait for one began.
    time_point leader_last_seen_{};
    duration claim_delay_{};
    time_point leader_since_{};
    time_point metrics_updated_{};
    scoped_timer tick_timer_;
    scoped_timer decide_timer_;
};

}  // namespace baobabrack::workload

#endif
