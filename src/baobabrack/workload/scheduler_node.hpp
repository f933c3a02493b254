#ifndef BAOBABRACK_WORKLOAD_SCHEDULER_NODE_HPP
#define BAOBABRACK_WORKLOAD_SCHEDULER_NODE_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>

#include "baobabrack/keyed/conditional_writer.hpp"
#include "baobabrack/keyed/topic_follower.hpp"
#include "baobabrack/membership/peer_network.hpp"
#include "baobabrack/metrics/registry.hpp"
#include "baobabrack/workload/directory_source.hpp"
#include "baobabrack/workload/guard_directory.hpp"
#include "baobabrack/workload/guard_sessions.hpp"
#include "baobabrack/workload/intake_writer.hpp"
#include "baobabrack/workload/peer_pings.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

/// One of several schedulers. Every one takes in jobs and cancels and knows each job from the
/// topics; one at a time leads: it decides, stores what it decided under the condition that nobody
/// else has stored anything, and then gives its orders to the guards.
class scheduler_node {
public:
    struct options {
        std::string id;
        incarnation life;
        std::string zmq_endpoint;
        scheduler::options decisions;
        /// A scheduler that knows the configuration to be older than this starts nothing.
        duration config_limit = std::chrono::milliseconds{2500};
        /// Answers about jobs need knowledge that is at most this old.
        duration answer_limit = std::chrono::milliseconds{2000};
        /// An ended job is known for at least this long.
        duration status_retention = std::chrono::seconds{120};
        /// ZeroMQ endpoints of schedulers to begin with.
        std::vector<std::string> seeds;
    };

    /// What a job needs to be told about; all are owned by the caller.
    struct environment {
        runtime& loop;
        keyed_log& log;
        peer_network& network;
        const directory_source& config;
        metrics_registry& metrics;
    };

    scheduler_node(options opts, environment around);
    scheduler_node(const scheduler_node&) = delete;
    scheduler_node& operator=(const scheduler_node&) = delete;
    ~scheduler_node();

    void start();

    /// Stores a job; the handler runs once, at the latest when the deadline has passed.
    void submit(const job_spec& spec, duration deadline, intake_writer::receipt_handler done);

    /// Stores that a job is to be cancelled.
    void cancel(const job_id& id, duration deadline, intake_writer::receipt_handler done);

    /// @return the jobs that are stored
    const job_table& book() const { return book_; }

    /// @return whether the book is complete up to a moment ago
    bool fresh() const;

    bool leading() const { return scheduler_ != nullptr; }

    /// @return the other schedulers
    const peer_pings& peers() const { return pings_; }

    /// @return whether the store answers
    bool store_answers() const;

    /// @return how long the store has not answered; zero if it does
    duration store_lost_for() const { return intake_.failing_for(); }

    /// Replaces the endpoints of schedulers to begin with.
    void set_seeds(std::vector<std::string> seeds) { pings_.set_seeds(std::move(seeds)); }

    /// Hands over, if this scheduler leads, and takes the lead no more.
    void resign();

private:
    void tick();
    void take_intake(const keyed_entry& entry);
    void take_progress(const keyed_entry& entry);
    void take_leader(const keyed_entry& entry);
    void consider_claim();
    void claim();
    void lead();
    void step_down(const std::string& why);
    void decide();
    void decide_soon();
    void flush();
    void forget_ended_jobs();
    void forget(const job_id& id);
    void write_batch(progress_batch batch);
    keyed_record leader_record(bool resigned);
    void batch_stored(const progress_batch& batch, const std::vector<keyed_record>& records,
                      log_offset first);
    void take_message(const std::string& sender, const wire::PeerMessage& message);
    void take_report(const wire::WorkloadReport& message);
    void redirect(const wire::WorkloadReport& message);
    void send_redirect(const std::string& guard);
    void send_orders(const host_id& host);
    bool proved_recently() const;
    bool settled() const;
    const directory* usable_config() const;
    void log_notes();
    void update_metrics();
    options options_;
    environment around_;
    job_table book_;
    topic_follower intake_;
    topic_follower progress_;
    conditional_writer writer_;
    peer_pings pings_;
    intake_writer intake_writer_;
    std::unique_ptr<scheduler> scheduler_;
    guard_sessions sessions_;
    // Guards whose reports have not been answered.
    std::set<host_id> answers_due_;
    // Ended jobs whose submissions are being dropped, and those whose progress comes next.
    std::set<job_id> forgetting_;
    std::vector<job_id> forgotten_;
    time_point forgot_at_{};
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
    guard_directory guards_;
    std::uint64_t batches_ = 0;
    log_offset term_;
    bool claiming_ = false;
    bool resigning_ = false;
    std::string leader_;
    std::string leader_endpoint_;
    log_offset leader_offset_;
    std::uint64_t leader_term_ = 0;
    bool leader_resigned_ = false;
    // When the leader last stored something.
    time_point leader_seen_{};
    duration claim_delay_{};
    time_point lead_since_{};
    time_point metrics_updated_{};
    scoped_timer tick_timer_;
    scoped_timer decide_timer_;
};

}  // namespace baobabrack::workload

#endif
