#include "baobabrack/dispatch/claim_state.hpp"

#include <algorithm>

namespace baobabrack {

namespace {

wall_time issue_time(const wire::ClaimMade& claim) {
    return wall_time{std::chrono::milliseconds{claim.issued_at_ms()}};
}

// Whether a later attempt of the caller may take the key over from this claim.
bool gives_way(const wire::KeptClaim& held, const wire::ClaimMade& next) {
    return held.has_settled() && held.settled().ran() == wire::RAN_NO &&
           held.made().attempt() > 0 && next.attempt() > held.made().attempt();
}

// What is known may only grow: unknown becomes yes or no, and nothing changes after that.
bool may_settle(const wire::KeptClaim& held) {
    return !held.has_settled() || held.settled().ran() == wire::RAN_UNKNOWN;
}

}  // namespace

bool claim_state::handles(const wire::Record& record) const {
    return record.has_claim_made() || record.has_claim_settled();
}

result<void> claim_state::apply(const wire::Record& record, const record_position& position) {
    advance(position.written_at);
    if (record.has_claim_made()) {
        return make(record.claim_made(), position);
    }
    return settle(record.claim_settled());
}

result<void> claim_state::check_issue_time(const wire::ClaimMade& claim) const {
    if (issue_time(claim) < log_time_ - options_.retention) {
        return failure{failure_kind::expired, "the idempotency key is older than claims are kept",
                       "find out by other means whether the work ran, then use a new key"};
    }
    if (issue_time(claim) > log_time_ + options_.clock_skew) {
        return failure{failure_kind::invalid, "the idempotency key was issued in the future",
                       "set the caller's clock right and use a new key"};
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> claim_state::make(const wire::ClaimMade& claim, const record_position& position) {
    if (auto checked = check_issue_time(claim); !checked) {
        return checked;
    }
    const claim_key key{claim.workspace(), claim.key()};
    const auto held = claims_.find(key);
    if (held != claims_.end() && !gives_way(held->second, claim)) {
        return failure{failure_kind::conflict, "the idempotency key is already claimed",
                       "wait for the result of the first claim"};
    }
    if (held == claims_.end() && claims_.size() >= options_.most_claims) {
        return failure{failure_kind::exhausted, "too many idempotency keys are claimed",
                       "retry later"};
    }
    forget(key);
    wire::KeptClaim kept;
    *kept.mutable_made() = claim;
    kept.set_offset(position.offset.get());
    keep(std::move(kept));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> claim_state::settle(const wire::ClaimSettled& settled) {
    const auto held = claims_.find({settled.workspace(), settled.key()});
    if (held == claims_.end() || held->second.offset() != settled.claim_offset()) {
        return failure{failure_kind::not_found, "no such claim is held", "ignore it"};
    }
    if (!may_settle(held->second)) {
        return failure{failure_kind::conflict, "the claim is settled already", "read its result"};
    }
    *held->second.mutable_settled() = settled;
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void claim_state::advance(wall_time written_at) {
    log_time_ = std::max(log_time_, written_at);
    const auto oldest = (log_time_ - options_.retention).time_since_epoch().count();
    while (!by_issue_time_.empty() && by_issue_time_.begin()->first < oldest) {
        claims_.erase(by_issue_time_.begin()->second);
        by_issue_time_.erase(by_issue_time_.begin());
    }
}

void claim_state::keep(wire::KeptClaim claim) {
    const claim_key key{claim.made().workspace(), claim.made().key()};
    by_issue_time_.emplace(claim.made().issued_at_ms(), key);
    claims_.insert_or_assign(key, std::move(claim));
}

void claim_state::forget(const claim_key& key) {
    const auto held = claims_.find(key);
    if (held == claims_.end()) {
        return;
    }
    by_issue_time_.erase({held->second.made().issued_at_ms(), key});
    claims_.erase(held);
}

const wire::KeptClaim* claim_state::find(const workspace_id& workspace,
                                         const idempotency_key& key) const {
    const auto held = claims_.find({workspace.get(), key.get()});
    return held == claims_.end() ? nullptr : &held->second;
}

std::string claim_state::save() const {
    wire::ClaimsState state;
    state.set_log_time_ms(log_time_.time_since_epoch().count());
    for (const auto& [key, claim] : claims_) {
        *state.add_claims() = claim;
    }
    return state.SerializeAsString();
}

result<void> claim_state::load(std::string_view data) {
    wire::ClaimsState state;
    if (!state.ParseFromArray(data.data(), static_cast<int>(data.size()))) {
        return failure{failure_kind::invalid, "the claims section cannot be parsed",
                       "use an older snapshot"};
    }
    claims_.clear();
    by_issue_time_.clear();
    log_time_ = wall_time{std::chrono::milliseconds{state.log_time_ms()}};
    for (auto& claim : *state.mutable_claims()) {
        keep(std::move(claim));
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace baobabrack
