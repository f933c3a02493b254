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
#include "baobabrack/workload/announcement_age.hpp"
#include "baobabrack/workload/evacuation_view.hpp"
#include "baobabrack/workload/guarded_runs.hpp"
#include "baobabrack/workload/worker_lease.hpp"

namespace baobabrack::workload {

/// An announcement that a worker sends about itself.
struct worker_announcement {
    worker_facts facts;
    /// Increases with each announcement of one worker instance.
    std::uint64_t sequence = 0;
    std::optional<worker_time> clock;
    /// When the instance began, by the wall clock of its host.
    std::optional<wall_time> began;
};

/// The process that runs next to a worker. It is the worker's only caller, so that every order is
/// checked here before it reaches the worker. Follows the leader with the highest term, reports the
/// worker's state to it, and carries out its orders as long as a lease grant covers them.
class worker_guard {
public:
    struct options {
        host_id host;
        incarnation version;
        std::string zmq_endpoint;
        /// ZeroMQ endpoints of the schedulers through which the leader is discovered.
        std::vector<std::string> seeds;
        /// Upper bound of a worker's lease.
        duration max_lease = std::chrono::seconds{10};
        /// Starts do not rely on a capacity that was announced longer ago.
        duration max_announcement_age = std::chrono::seconds{3};
        /// The data centre of this host.
        data_centre_id data_centre;
        /// How long after the store has confirmed an evacuation a run may start there at the
        /// latest; zero if no bound is known.
        duration evacuation_bound{};
    };

    worker_guard(options opts, runtime& loop, peer_network& network, worker_port& worker,
                 metrics_registry& metrics);
    worker_guard(const worker_guard&) = delete;
    worker_guard& operator=(const worker_guard&) = delete;

    void start();

    /// Applies an announcement of the worker.
    ///
    /// @return false if the announcement is older than the known state and was ignored
    bool announce(const worker_announcement& announcement);

    /// Handles the worker's notice that it is shutting down.
    void leave(const worker_id& worker);

    /// Replaces the scheduler endpoints through which the leader is discovered.
    void set_seeds(std::vector<std::string> seeds);

private:
    /// The worker runs on the same host and answers a call within a few milliseconds. A lost start
    /// delays the other runs of its gang, so it has to be detected quickly.
    static constexpr duration call_timeout = std::chrono::milliseconds{250};
    /// Increment of the token past that of an unanswered call.
    static constexpr std::uint64_t token_step = 1;

    void send_periodic_report();
    void schedule_report();
    void send_report();
    void handle_message(const wire::PeerMessage& message);
    void handle_orders(const wire::WorkloadOrders& message);
    void follow_leader(const wire::WorkloadOrders& message);
    void handle_start_order(const start_order& run);
    void confirm_worker_for(const start_order& run);
    void send_confirmed_starts();
    bool send_start(const start_order& run, unsigned attempts);
    void retry_start(const guarded_runs::lost_start& lost, const std::string& reason);
    void handle_start_reply(const run_key& key, const worker_instance& instance,
                            const call_reply& reply);
    void handle_stop_order(const stop_order& run);
    void handle_stop_reply(const stop_order& run, const worker_instance& instance,
                           const call_reply& reply);
    void refuse_start(const run_key& key, const std::string& reason);
    void schedule_renewal();
    void renew_lease();
    void send_renewal(duration wait);
    void handle_renew_reply(std::uint64_t number, time_point sent_at,
                            const worker_instance& instance, const renew_reply& renewal);
    void doubt_instance(call_outcome outcome);
    void apply_run_lists(std::uint64_t number, time_point sent_at, const renew_reply& renewal);
    void increase_token(std::uint64_t by);
    void update_clock(const call_reply& reply);
    void suspend_lease_if_silent();
    void check_pause();
    duration worker_age() const;
    void check_announcement_age();
    bool is_evacuated() const;
    void reset_worker_state();

    options options_;
    runtime& loop_;
    peer_network& network_;
    worker_port& worker_;
    metrics_registry& metrics_;

    std::optional<worker_facts> facts_;
    // When the first announcement of the instance arrived, and when it says that it began.
    time_point instance_seen_at_{};
    std::optional<wall_time> instance_began_;
    std::uint64_t announcement_sequence_ = 0;
    time_point announced_at_{};
    announcement_age announcement_age_;
    bool capacity_outdated_ = false;
    worker_lease lease_;
    // The latest lease renewal failed in a way that a crash of the worker would explain.
    bool instance_doubtful_ = false;

    std::string leader_endpoint_;
    std::uint64_t term_ = 0;
    std::uint64_t last_orders_sequence_ = 0;
    time_point last_orders_at_{};
    time_point last_lists_at_{};
    // When the latest periodic report was sent.
    time_point last_period_at_{};
    time_point last_response_at_{};
    // The previous instance of the worker, its age counted from `replaced_at_`.
    std::optional<replaced_worker> replaced_;
    time_point replaced_at_{};
    time_point renewal_sent_at_{};
    time_point last_renewal_loss_{};
    fencing_token token_;
    std::uint64_t ends_stored_ = 0;

    evacuation_view evacuations_;
    guarded_runs runs_;
    std::map<run_key, time_point> stops_sent_;
    // Starts that are sent once the worker responds.
    std::map<run_key, start_order> unconfirmed_starts_;
    // Stops that got no answer or were fenced; they are sent again once the worker answers.
    std::set<run_key> failed_stops_;
    std::uint64_t renewals_sent_ = 0;
    std::uint64_t last_applied_renewal_ = 0;
    bool renewal_in_flight_ = false;
    std::uint64_t current_renewal_ = 0;
    std::uint64_t reports_sent_ = 0;
    time_point last_report_at_{};
    std::size_t last_report_bytes_ = 0;

    scoped_timer periodic_report_timer_;
    scoped_timer report_timer_;
    scoped_timer renewal_timer_;
};

}  // namespace baobabrack::workload

#endif
