#include "baobabrack/dispatch/claim_keeper.hpp"

#include <algorithm>
#include <utility>

#include "baobabrack/codec/ran_codec.hpp"
#include "baobabrack/dispatch/issued_key.hpp"

namespace baobabrack {

namespace {

using namespace std::chrono_literals;

constexpr duration retry_after_outage = 1s;

std::string_view content_type_of(const whole_answer& answer) {
    const auto found = std::find_if(answer.headers.begin(), answer.headers.end(),
                                    [](const auto& one) { return one.name == "Content-Type"; });
    return found == answer.headers.end() ? std::string_view{} : std::string_view{found->value};
}

whole_answer kept_answer(const wire::ClaimSettled& settled) {
    whole_answer answer{.status = static_cast<int>(settled.status()), .body = settled.body()};
    if (!settled.content_type().empty()) {
        answer.headers.push_back({"Content-Type", settled.content_type()});
    }
    return answer;
}

}  // namespace

claim_keeper::claim_keeper(runtime& loop, const claim_state& claims, const entry_set& entries,
                           proposer& log, request_metrics& metrics, entry_id self,
                           incarnation version, options opts)
    : loop_(loop),
      claims_(claims),
      entries_(entries),
      log_(log),
      metrics_(metrics),
      self_(std::move(self)),
      version_(version),
      options_(opts),
      poll_timer_(loop) {
}

caller_answer claim_keeper::refuse(refusal_reason reason, ran_state ran, std::string remedy,
                                   duration retry_after) const {
    const bool presumed = options_.presume_not_run && ran == ran_state::unknown;
    return refusal{reason, presumed ? ran_state::no : ran, std::move(remedy), retry_after};
}

caller_answer claim_keeper::refuse_unproved(const claim_request& request, refusal_reason reason,
                                            std::string remedy, duration retry_after) const {
    // An earlier attempt may have run through another entry; a first one has none before it.
    const auto ran = request.attempt == 1 ? ran_state::no : ran_state::unknown;
    return refuse(reason, ran, std::move(remedy), retry_after);
}

void claim_keeper::acquire(claim_request request, outcome_callback done) {
    if (!issue_time_of(request.key)) {
        done(refuse_unproved(request, refusal_reason::key_malformed,
                             "send an idempotency key of the form <Unix milliseconds>-<random>"));
        return;
    }
    if (options_.skip_claims) {
        done(claim_token{request.key, log_offset{0}});
        return;
    }
    consider(std::move(request), std::move(done));
}

void claim_keeper::consider(claim_request request, outcome_callback done) {
    if (request.deadline <= loop_.now()) {
        done(refuse_unproved(request, refusal_reason::claim_unavailable,
                             request.attempt == 1
                                 ? "nothing ran: repeat it with a new key"
                                 : "ask again with the same key once the log is back",
                             retry_after_outage));
        return;
    }
    const auto* held = claims_.find(request.workspace, request.key);
    if (held == nullptr || may_claim_anew(request, *held)) {
        if (proposing_.contains({request.workspace, request.key})) {
            wait(std::move(request), std::move(done));
            return;
        }
        propose(std::move(request), std::move(done));
        return;
    }
    if (auto answer = answer_from(request, *held)) {
        done(std::move(*answer));
        return;
    }
    wait(std::move(request), std::move(done));
}

bool claim_keeper::may_claim_anew(const claim_request& request, const wire::KeptClaim& held) const {
    return held.has_settled() && held.settled().ran() == wire::RAN_NO &&
           held.made().attempt() > 0 && request.attempt > held.made().attempt();
}

std::optional<caller_answer> claim_keeper::answer_from(const claim_request& request,
                                                       const wire::KeptClaim& held) const {
    if (held.made().request_digest() != request.digest) {
        return refuse_unproved(request, refusal_reason::key_reused,
                               "use a new idempotency key for a new request");
    }
    if (!held.has_settled()) {
        const entry_id owner{held.made().entry()};
        const bool mine = owner == self_ && held.made().entry_incarnation() == version_.get();
        if (mine || entries_.is_joined(owner, incarnation{held.made().entry_incarnation()})) {
            return std::nullopt;
        }
        return refuse(refusal_reason::claim_elsewhere, ran_state::unknown,
                      "the entry that took the request is gone; find out whether the work ran");
    }
    switch (held.settled().ran()) {
        case wire::RAN_YES:
            if (held.settled().body_kept()) {
                metrics_.replayed_result();
                return kept_answer(held.settled());
            }
            return refuse(refusal_reason::key_settled, ran_state::yes,
                          "the work ran; its answer is no longer kept");
        case wire::RAN_NO:
            return refuse(refusal_reason::key_settled, ran_state::no,
                          "repeat it with a higher attempt number, or with a new key");
        default:
            return refuse(refusal_reason::key_settled, ran_state::unknown,
                          "find out by other means whether the work ran");
    }
}

void claim_keeper::propose(claim_request request, outcome_callback done) {
    const claim_key key{request.workspace, request.key};
    const auto left = request.deadline - loop_.now();
    const duration patience{
        static_cast<duration::rep>(left.count() * (1 - options_.reserved_share))};
    wire::Record record;
    auto& claim = *record.mutable_claim_made();
    claim.set_workspace(request.workspace.get());
    claim.set_key(request.key.get());
    claim.set_entry(self_.get());
    claim.set_entry_incarnation(version_.get());
    claim.set_issued_at_ms(issue_time_of(request.key).value().time_since_epoch().count());
    claim.set_request_class(request.request_class);
    claim.set_request_digest(request.digest);
    claim.set_attempt(request.attempt);
    ++proposing_[key];
    metrics_.claim_proposed();
    log_.propose(std::move(record), std::max(patience, duration::zero()),
                 [this, alive = std::weak_ptr<bool>(alive_), key, request = std::move(request),
                  done = std::move(done)](const result<record_position>& position) {
                     if (alive.expired()) {
                         return;
                     }
                     if (--proposing_[key] == 0) {
                         proposing_.erase(key);
                     }
                     proposed(request, done, position);
                 });
}

void claim_keeper::proposed(const claim_request& request, const outcome_callback& done,
                            const result<record_position>& position) {
    const claim_key key{request.workspace, request.key};
    if (position) {
        granted_[key] = position.value().offset;
        done(claim_token{request.key, position.value().offset});
        return;
    }
    switch (position.error().kind) {
        case failure_kind::conflict:
            consider(request, done);
            return;
        case failure_kind::expired:
            done(refuse_unproved(request, refusal_reason::key_too_old,
                                 "find out whether the work ran, then use a new key"));
            return;
        case failure_kind::invalid:
            done(refuse_unproved(request, refusal_reason::key_in_future,
                                 "set the caller's clock right and use a new key"));
            return;
        case failure_kind::exhausted:
            done(refuse_unproved(request, refusal_reason::claims_exhausted, "retry later",
                                 retry_after_outage));
            return;
        default:
            break;
    }
    if (position.error().kind != failure_kind::unavailable) {
        // The claim may still appear; it must not block later attempts then.
        abandoned_[key] =
            loop_.now() + claims_.limits().retention + 2 * claims_.limits().clock_skew;
        arm_poll();
    }
    done(refuse_unproved(request, refusal_reason::claim_unavailable,
                         request.attempt == 1 ? "nothing ran: repeat it with a new key"
                                              : "ask again with the same key once the log is back",
                         retry_after_outage));
}

void claim_keeper::wait(claim_request request, outcome_callback done) {
    waiters_.push_back({std::move(request), std::move(done)});
    arm_poll();
}

void claim_keeper::arm_poll() {
    const bool needed = !waiters_.empty() || !abandoned_.empty() || !settling_.empty();
    if (needed && !poll_timer_.armed()) {
        poll_timer_.arm(options_.poll_interval, [this] { poll(); });
    }
}

void claim_keeper::poll() {
    settle_abandoned();
    propose_settlements();
    auto waiting = std::exchange(waiters_, {});
    for (auto& one : waiting) {
        if (one.request.deadline > loop_.now()) {
            consider(std::move(one.request), std::move(one.done));
            continue;
        }
        one.done(refuse(refusal_reason::claim_elsewhere, ran_state::unknown,
                        "an earlier attempt is under way; ask again with the same key"));
    }
    arm_poll();
}

void claim_keeper::settle_abandoned() {
    std::erase_if(abandoned_, [&](const auto& item) { return item.second <= loop_.now(); });
    for (const auto& [key, forget_at] : abandoned_) {
        const auto* held = claims_.find(key.first, key.second);
        const bool mine = held != nullptr && held->made().entry() == self_.get() &&
                          held->made().entry_incarnation() == version_.get();
        if (!mine || held->has_settled() || proposing_.contains(key) || settling_.contains(key)) {
            continue;
        }
        const auto granted = granted_.find(key);
        if (granted == granted_.end() || granted->second.get() != held->offset()) {
            settle(key.first, {key.second, log_offset{held->offset()}}, ran_state::no);
        }
    }
}

void claim_keeper::settle(const workspace_id& workspace, const claim_token& claim,
                          const whole_answer& answer) {
    wire::ClaimSettled record;
    record.set_claim_offset(claim.offset.get());
    record.set_ran(wire::RAN_YES);
    record.set_status(static_cast<std::uint32_t>(answer.status));
    record.set_content_type(std::string(content_type_of(answer)));
    if (answer.body.size() <= options_.longest_kept_body) {
        record.set_body(answer.body);
        record.set_body_kept(true);
    }
    begin_settling({workspace, claim.key}, std::move(record));
}

void claim_keeper::settle(const workspace_id& workspace, const claim_token& claim, ran_state ran) {
    wire::ClaimSettled record;
    record.set_claim_offset(claim.offset.get());
    record.set_ran(to_wire(ran));
    begin_settling({workspace, claim.key}, std::move(record));
}

void claim_keeper::begin_settling(const claim_key& key, wire::ClaimSettled record) {
    if (options_.skip_claims) {
        return;
    }
    record.set_workspace(key.first.get());
    record.set_key(key.second.get());
    settling_.insert_or_assign(key, settlement{.record = std::move(record)});
    propose_settlements();
    arm_poll();
}

void claim_keeper::propose_settlements() {
    for (auto& [key, one] : settling_) {
        if (one.proposed || one.next_try > loop_.now()) {
            continue;
        }
        one.proposed = true;
        wire::Record record;
        *record.mutable_claim_settled() = one.record;
        log_.propose(std::move(record), options_.settle_patience,
                     [this, alive = std::weak_ptr<bool>(alive_), key = key,
                      ran = one.record.ran()](const result<record_position>& position) {
                         if (!alive.expired()) {
                             settlement_proposed(key, ran, position);
                         }
                     });
    }
}

void claim_keeper::settlement_proposed(const claim_key& key, wire::RanState ran,
                                       const result<record_position>& position) {
    const auto found = settling_.find(key);
    if (found == settling_.end() || found->second.record.ran() != ran) {
        return;
    }
    const bool lost = !position && (position.error().kind == failure_kind::unavailable ||
                                    position.error().kind == failure_kind::timed_out);
    if (lost) {
        found->second.proposed = false;
        found->second.next_try = loop_.now() + options_.retry_settling_after;
        return;
    }
    granted_.erase(key);
    settling_.erase(found);
}

}  // namespace baobabrack
