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

/// Tells schedulers of each other: who is alive, who leads, and whom the store answers. Hints
/// only: who may decide is settled in the store.
class peer_pings {
public:
    struct options {
        std::string id;
        std::string zmq_endpoint;
        /// ZeroMQ endpoints of schedulers to begin with.
        std::vector<std::string> seeds;
    };

    /// What this scheduler says of itself.
    struct state {
        /// Zero unless it leads.
        std::uint64_t term = 0;
        bool store_available = false;
    };

    peer_pings(options opts, runtime& loop, peer_network& network);

    /// @param own is asked before each ping
    void start(std::function<state()> own);

    /// Sends a ping now.
    void ping();

    void take(const wire::WorkloadPing& message);

    void set_seeds(std::vector<std::string> seeds) { options_.seeds = std::move(seeds); }

    /// @return whether the scheduler was heard a moment ago
    bool is_alive(const std::string& endpoint) const;

    /// @return whether the scheduler has said a moment ago that it leads
    bool reports_leadership(const std::string& endpoint) const;

    /// @return whether the scheduler has said a moment ago that the store does not answer it
    bool reports_store_loss(const std::string& endpoint) const;

    /// @return a scheduler that the store answers, as it said a moment ago
    std::optional<std::string> find_peer_with_store() const;

private:
    struct peer {
        time_point heard{};
        std::uint64_t term = 0;
        bool store_answers = false;
    };

    options options_;
    runtime& loop_;
    peer_network& network_;
    std::function<state()> own_;
    // By endpoint.
    std::map<std::string, peer> peers_;
    scoped_timer timer_;
};

}  // namespace baobabrack::workload

#endif
