#ifndef BAOBABRACK_GUARD_GUARD_NODE_HPP
#define BAOBABRACK_GUARD_GUARD_NODE_HPP

#include <functional>
#include <string>
#include <vector>

#include "baobabrack/guard/fence_table.hpp"
#include "baobabrack/membership/peer_network.hpp"
#include "baobabrack/metrics/registry.hpp"
#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"
#include "baobabrack/services/target_service.hpp"

namespace baobabrack {

/// Runs in a process beside a target. Forwards requests to the target, enforces the target's limits
/// independently of the entries' state, and tracks which claimed keys have run.
class guard_node {
public:
    struct options {
        std::string id;
        incarnation version;
        target_id target;
        std::string zmq_endpoint;
        std::uint32_t slots = 8;
        duration hello_interval = std::chrono::seconds{1};
        fence_table::options fences;
        /// Entries that receive this guard's hellos.
        std::vector<std::string> entries;
    };

    /// @param direct service that sends to the target directly
    guard_node(options opts, runtime& loop, peer_network& network, target_service& direct,
               metrics_registry& metrics);

    /// Starts sending hellos to the entries periodically.
    void start();

    /// Refuses new requests from now on.
    ///
    /// @param done called when the last running request has ended
    void drain(std::function<void()> done);

    std::uint32_t running() const { return running_; }

private:
    void receive(const std::string& sender, const wire::PeerMessage& message);
    void handle_request(const std::string& sender, const wire::GuardRequest& request);
    void handle_fence(const std::string& sender, const wire::GuardFence& fence);
    void handle_policy(const wire::GuardPolicy& policy);
    /// @return the reason to refuse a request; empty if it may run
    std::string refusal_reason(const wire::GuardRequest& request) const;
    void run(const std::string& sender, const wire::GuardRequest& request);
    void finish(const std::string& sender, const wire::GuardRequest& request, target_reply reply);
    void refuse(const std::string& sender, std::uint64_t request, wire::RanState ran,
                const std::string& reason);
    void send_hello();
    void send(const std::string& peer, const wire::GuardReply& reply);

    options options_;
    runtime& loop_;
    peer_network& network_;
    target_service& direct_;
    metrics_registry& metrics_;
    fence_table fences_;
    scoped_timer hello_timer_;
    std::uint64_t next_request_id_ = 1;
    std::uint32_t running_ = 0;
    std::uint64_t policy_ticket_ = 0;
    bool draining_ = false;
    std::function<void()> on_drained_;
};

}  // namespace baobabrack

#endif
