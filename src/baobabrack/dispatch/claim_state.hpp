#ifndef BAOBABRACK_DISPATCH_CLAIM_STATE_HPP
#define BAOBABRACK_DISPATCH_CLAIM_STATE_HPP

#include <cstddef>
#include <map>
#include <set>
#include <utility>

#include "baobabrack/ledger/replicated_state.hpp"
#include "baobabrack/request_state.pb.h"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Claims of idempotency keys: for each key the first claim by offset, and what became of it.
///
/// A key is claimed at most once, except that a claim which was settled as not run gives way to
/// a higher attempt of its caller. Claims are dropped once their keys are too old to be claimed
/// at all, so that a dropped key cannot be claimed again.
class claim_state : public replicated_state {
public:
    struct options {
        /// A key issued longer ago than this is refused. The same on every entry.
        std::chrono::milliseconds retention = std::chrono::minutes{30};
        /// How far a key's issue time may lie ahead of the log's.
        std::chrono::milliseconds clock_skew = std::chrono::minutes{1};
        /// Most claims kept; further ones are refused until old ones expire.
        std::size_t most_claims = 200'000;
    };

    claim_state() : claim_state(options{}) {}
    explicit claim_state(options opts) : options_(opts) {}

    std::string_view name() const override { return "claims"; }
    bool handles(const wire::Record& record) const override;
    result<void> apply(const wire::Record& record, const record_position& position) override;
    std::string save() const override;
    result<void> load(std::string_view data) override;

    /// @return the claim that holds the key; null if there is none
    const wire::KeptClaim* find(const workspace_id& workspace, const idempotency_key& key) const;

    /// @return when the newest record was written, as far as this replica has read
    wall_time log_time() const { return log_time_; }

    const options& limits() const { return options_; }
    std::size_t size() const { return claims_.size(); }

private:
    using claim_key = std::pair<std::string, std::string>;

    result<void> make(const wire::ClaimMade& claim, const record_position& position);
    result<void> settle(const wire::ClaimSettled& settled);
    result<void> check_issue_time(const wire::ClaimMade& claim) const;
    void advance(wall_time written_at);
    void keep(wire::KeptClaim claim);
    void forget(const claim_key& key);

    options options_;
    wall_time log_time_{};
    std::map<claim_key, wire::KeptClaim> claims_;
    // Oldest first, for expiry.
    std::set<std::pair<std::int64_t, claim_key>> by_issue_time_;
};

}  // namespace baobabrack

#endif
