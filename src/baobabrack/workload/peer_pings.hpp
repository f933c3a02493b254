#ifndef BAOBABRACK_WORKLOAD_PEER_PINGS_HPP
#define BAOBABRACK_WORKLOAD_PEER_PINGS_HPP

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "baobabrack/membership/peer_network.hpp"
#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"

namespace baobabrack::workload {

/// Exchanges pings between the schedulers: which of them are alive, which one is the leader, and
/// which ones the store answers.
///
/// The information is only a hint. Leadership itself is decided by conditional appends to the
/// store.
class peer_pings {
public:
    struct options {
        std::string id;
        std::string zmq_endpoint;
        /// ZeroMQ endpoints of the schedulers to contact first.
        std::vector<std::string> seeds;
    };

    /// State that a scheduler sends to its peers.
    struct state {
        /// Zero unless the scheduler is the leader.
        std::uint64_t term = 0;
        bool store_available = false;
    };

    peer_pings(options opts, runtime& loop, peer_network& network);

    /// Starts to send pings.
    ///
    /// @param get_state returns this scheduler's state; it is called before each ping
    void start(std::function<state()> get_state);

    /// Sends a ping to all peers immediately and restarts the interval.
    void ping();

    void handle(const wire::WorkloadPing& message);

    void set_seeds(std::vector<std::string> seeds) { options_.seeds = std::move(seeds); }

    /// @return whether the scheduler has sent a ping recently
    bool is_alive(const std::string& endpoint) const;

    /// @return whether the scheduler has recently reported that it is the leader
    bool reports_leadership(const std::string& endpoint) const;

    /// @return whether the scheduler has recently reported that the store does not answer it
    bool reports_store_loss(const std::string& endpoint) const;

    /// @return the endpoint of a scheduler that has recently reported that the store answers it
    std::optional<std::string> find_peer_with_store() const;

private:
    bool has_room();

    struct peer_state {
        time_point last_heard{};
        std::uint64_t term = 0;
        bool store_available = false;
    };

    options options_;
    runtime& loop_;
    peer_network& network_;
    std::function<state()> get_state_;
    // By endpoint.
    std::map<std::string, peer_state> peers_;
    scoped_timer timer_;
};

}  // namespace baobabrack::workload

#endif
