#ifndef BAOBABRACK_DISPATCH_CLAIM_KEEPER_HPP
#define BAOBABRACK_DISPATCH_CLAIM_KEEPER_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "baobabrack/dispatch/caller_request.hpp"
#include "baobabrack/dispatch/claim_state.hpp"
#include "baobabrack/dispatch/request_metrics.hpp"
#include "baobabrack/ledger/proposer.hpp"
#include "baobabrack/membership/entry_set.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"

namespace baobabrack {

/// What a claim is made for.
struct claim_request {
    workspace_id workspace;
    idempotency_key key;
    std::uint32_t attempt = 0;
    std::string request_class;
    /// Tells requests apart that use one key by mistake.
    std::uint64_t digest = 0;
    time_point deadline{};
};

/// Makes claims of idempotency keys and settles them; answers repeated requests from the claims
/// that others made.
///
/// A request may be sent only with the token that `acquire` gave, and only before it is settled.
class claim_keeper {
public:
    struct options {
        /// How often a claim of another entry is looked at.
        duration poll_interval = std::chrono::milliseconds{20};
        duration settle_patience = std::chrono::seconds{10};
        duration retry_settling_after = std::chrono::seconds{1};
        /// Part of the time left that is kept for the request itself.
        double reserved_share = 0.25;
        /// Longest answer body that is kept with its claim, in bytes.
        std::size_t longest_kept_body = 2048;
        /// Test only: grants tokens without a claim.
        bool skip_claims = false;
        /// Test only: says `no` where that is not proved.
        bool presume_not_run = false;
    };
    /// The token to send with, or the answer that the caller gets at once.
    using outcome = std::variant<claim_token, caller_answer>;
    using outcome_callback = std::function<void(outcome)>;

    claim_keeper(runtime& loop, const claim_state& claims, const entry_set& entries, proposer& log,
                 request_metrics& metrics, entry_id self, incarnation version, options opts);

    /// Claims a key, or finds out what became of it, by the request's deadline.
    void acquire(claim_request request, outcome_callback done);

    /// Settles a claim with its whole answer.
    void settle(const workspace_id& workspace, const claim_token& claim,
                const whole_answer& answer);

    /// Settles a claim without an answer.
    void settle(const workspace_id& workspace, const claim_token& claim, ran_state ran);

    /// @return claims whose settlement is not in the log yet
    std::size_t unsettled() const { return settling_.size(); }

    void rejoined(incarnation version) { version_ = version; }

private:
    using claim_key = std::pair<workspace_id, idempotency_key>;

    struct waiter {
        claim_request request;
        outcome_callback done;
    };
    struct settlement {
        wire::ClaimSettled record;
        bool proposed = false;
        time_point next_try{};
    };

    void consider(claim_request request, outcome_callback done);
    void propose(claim_request request, outcome_callback done);
    void proposed(const claim_request& request, const outcome_callback& done,
                  const result<record_position>& position);
    /// @return the answer that a held claim gives; none if it may be claimed anew or must be
    ///         waited for
    std::optional<caller_answer> answer_from(const claim_request& request,
                                             const wire::KeptClaim& held) const;
    bool may_claim_anew(const claim_request& request, const wire::KeptClaim& held) const;
    void wait(claim_request request, outcome_callback done);
    void poll();
    void settle_abandoned();
    void propose_settlements();
    void settlement_proposed(const claim_key& key, wire::RanState ran,
                             const result<record_position>& position);
    void begin_settling(const claim_key& key, wire::ClaimSettled record);
    void arm_poll();
    caller_answer refuse(refusal_reason reason, ran_state ran, std::string remedy,
                         duration retry_after = {}) const;
    caller_answer refuse_unproved(const claim_request& request, refusal_reason reason,
                                  std::string remedy, duration retry_after = {}) const;

    runtime& loop_;
    const claim_state& claims_;
    const entry_set& entries_;
    proposer& log_;
    request_metrics& metrics_;
    entry_id self_;
    incarnation version_;
    options options_;
    std::vector<waiter> waiters_;
    // Keys whose claim is on its way to the log.
    std::map<claim_key, std::size_t> proposing_;
    // Tokens that were given out and are not settled in the log yet.
    std::map<claim_key, log_offset> granted_;
    // Claims that were given up before their fate was known, with when to forget them.
    std::map<claim_key, time_point> abandoned_;
    std::map<claim_key, settlement> settling_;
    scoped_timer poll_timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace baobabrack

#endif
