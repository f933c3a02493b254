#ifndef BAOBABRACK_GUARD_GUARD_CLIENT_HPP
#define BAOBABRACK_GUARD_GUARD_CLIENT_HPP

#include <map>
#include <string>
#include <unordered_map>

#include "baobabrack/membership/peer_network.hpp"
#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/services/target_service.hpp"

namespace baobabrack {

/// State of a guard according to its newest hello.
struct known_guard {
    std::string id;
    incarnation version;
    target_id target;
    ticket_number ticket_in_force;
    std::uint32_t running = 0;
    bool draining = false;
    time_point last_heard{};
};

/// Sends requests to targets through their guards, and directly to targets that have no guard. A
/// target that announces a guard is never contacted directly, because only the guard enforces the
/// target's limits.
class guard_client : public target_service {
public:
    struct options {
        entry_id self;
        incarnation version;
        /// A guard is considered unavailable after this long without a hello.
        duration silence_limit = std::chrono::seconds{4};
        duration fence_timeout = std::chrono::milliseconds{500};
        /// Returns whether a target accepts requests only through its guard. If empty, no target
        /// requires its guard.
        std::function<bool(const target_id&)> requires_guard;
    };

    /// @param direct service for targets that have no guard
    guard_client(options opts, runtime& loop, peer_network& network, target_service& direct);
    ~guard_client() override;

    void send(const target_id& target, const target_request& request, reply_callback done) override;
    void abandon(const target_id& target, std::uint64_t request) override;
    void fence(const target_id& target, const workspace_id& workspace, const claim_token& claim,
               std::function<void(ran_state)> done) override;

    /// Records a guard's hello and connects to the guard if it is new. A hello of an earlier
    /// incarnation is ignored.
    ///
    /// @return whether the guard or its incarnation is new
    bool handle_hello(const wire::GuardHello& hello);

    /// Completes the exchange of a guard's reply. Late, duplicate and unknown replies are counted
    /// and dropped.
    void handle_reply(const wire::GuardReply& reply);

    /// Completes the fence of a guard's reply; unmatched replies are counted and dropped.
    void handle_fence_reply(const wire::GuardFenceReply& reply);

    /// @return the available guard of a target; null if there is none
    const known_guard* find(const target_id& target) const;

    const std::map<target_id, known_guard>& guards() const { return guards_; }
    std::uint64_t dropped_replies() const { return dropped_replies_; }

private:
    struct pending_exchange {
        std::uint64_t caller_id = 0;
        reply_callback done;
        timer_id timer = timer_id::none;
    };
    struct pending_fence {
        std::function<void(ran_state)> done;
        timer_id timer = timer_id::none;
    };

    void send_via_guard(const known_guard& guard, const target_request& request,
                        reply_callback done);
    void handle_timeout(std::uint64_t id);
    void complete_fence(std::uint64_t id, ran_state ran);
    void record_claim_guard(const known_guard& guard, const target_request& request);

    options options_;
    runtime& loop_;
    peer_network& network_;
    target_service& direct_;
    std::map<target_id, known_guard> guards_;
    std::uint64_t next_id_ = 1;
    std::unordered_map<std::uint64_t, pending_exchange> pending_exchanges_;
    std::unordered_map<std::uint64_t, pending_fence> pending_fences_;
    // Guard incarnation to which each claimed request was sent, by claim offset.
    std::map<log_offset, incarnation> guard_versions_by_claim_;
    std::uint64_t dropped_replies_ = 0;
};

}  // namespace baobabrack

#endif
