#ifndef BAOBABRACK_WORKLOAD_WORKER_GUARD_HPP
#define BAOBABRACK_WORKLOAD_WORKER_GUARD_HPP

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "baobabrack/membership/peer_network.hpp"
#include "baobabrack/metrics/registry.hpp"
#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"
#include "baobabrack/workload/guarded_runs.hpp"
#include "baobabrack/workload/worker_lease.hpp"

namespace baobabrack::workload {

/// A worker's word about itself.
struct worker_announcement {
    worker_facts facts;
    /// Grows with each announcement of one life.
    std::uint64_t sequence = 0;
    std::optional<worker_clock> clock;
};

/// The process beside a worker: its only caller, and the last gate before it. Follows the leader
/// with the highest term, tells it everything about the worker, and carries out its orders as
/// long as they are covered by a grant.
class worker_guard {
public:
    struct options {
        host_id host;
        incarnation life;
        std::string zmq_endpoint;
        /// ZeroMQ endpoints of schedulers to look for the leader at.
        std::vector<std::string> seeds;
        /// The longest lease that a worker can have.
        duration most_lease = std::chrono::seconds{10};
    };

    worker_guard(options opts, runtime& loop, peer_network& network, worker_port& worker,
                 metrics_registry& metrics);
    worker_guard(const worker_guard&) = delete;
    worker_guard& operator=(const worker_guard&) = delete;

    void start();

    /// @return whether the announcement was taken, or is older than what is known
    bool announce(const worker_announcement& announcement);

    /// The worker says that it ends.
    void leave(const worker_id& worker);

    /// Replaces the endpoints to look for the leader at.
    void set_seeds(std::vector<std::string> seeds);

private:
    void beat();
    void report();
    void send_report();
    void take_message(const wire::PeerMessage& message);
    void take_orders(const wire::WorkloadOrders& message);
    void follow(const wire::WorkloadOrders& message);
    void order_start(const wanted_run& run);
    bool start(const wanted_run& run, unsigned tries);
    void start_again(const guarded_runs::missed_start& start, const std::string& reason);
    void start_answered(const run_key& key, const worker_instance& life, const call_reply& reply);
    void order_stop(const unwanted_run& run);
    void stop_answered(const unwanted_run& run, const worker_instance& life,
                       const call_reply& reply);
    void refuse(const run_key& key, const std::string& reason);
    void hold_soon();
    void hold();
    void hold_answered(std::uint64_t number, const worker_instance& life, const hold_reply& reply);
    void take_lists(std::uint64_t number, const hold_reply& reply);
    void raise_token(std::uint64_t by);
    void take_clock(const call_reply& reply);
    void watch_worker();
    void forget_worker();

    options options_;
    runtime& loop_;
    peer_network& network_;
    worker_port& worker_;
    metrics_registry& metrics_;

    std::optional<worker_facts> facts_;
    std::uint64_t announced_ = 0;
    worker_lease lease_;

    std::string leader_endpoint_;
    std::uint64_t term_ = 0;
    std::uint64_t orders_seen_ = 0;
    time_point orders_at_{};
    time_point lists_at_{};
    time_point hold_sent_at_{};
    time_point hold_lost_at_{};
    fencing_token token_;
    std::uint64_t ends_stored_ = 0;

    guarded_runs runs_;
    std::map<run_key, time_point> stops_sent_;
    // Stops without an answer.
    std::set<run_key> stops_missed_;
    std::uint64_t holds_sent_ = 0;
    std::uint64_t hold_taken_ = 0;
    bool hold_open_ = false;
    std::uint64_t open_hold_ = 0;
    std::uint64_t reports_sent_ = 0;

    scoped_timer beat_timer_;
    scoped_timer report_timer_;
    scoped_timer hold_timer_;
};

}  // namespace baobabrack::workload

#endif
