#include "baobabrack/guard/guard_client.hpp"

#include <algorithm>
#include <utility>

#include "baobabrack/codec/ran_codec.hpp"

namespace baobabrack {

namespace {

constexpr std::size_t max_recorded_claims = 10'000;

exchange_outcome to_outcome(const wire::GuardReply& reply) {
    switch (reply.ran()) {
        case wire::RAN_NO:
            return exchange_outcome::refused_not_run;
        case wire::RAN_YES:
            // The guard refuses a key that has run before without repeating its answer: status 0.
            return reply.status() == 0 ? exchange_outcome::broken : exchange_outcome::answered;
        default:
            return reply.reason() == "answer-timed-out" ? exchange_outcome::timed_out
                                                        : exchange_outcome::broken;
    }
}

target_reply to_target_reply(const wire::GuardReply& reply) {
    target_reply out{.outcome = to_outcome(reply),
                     .status = static_cast<int>(reply.status()),
                     .body = reply.body()};
    for (const auto& header : reply.headers()) {
        out.headers.push_back({header.name(), header.value()});
    }
    return out;
}

std::uint32_t remaining_ms(duration deadline) {
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(deadline).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(remaining, 1));
}

}  // namespace

guard_client::guard_client(options opts, runtime& loop, peer_network& network,
                           target_service& direct)
    : options_(std::move(opts)), loop_(loop), network_(network), direct_(direct) {
}

guard_client::~guard_client() {
    for (const auto& [id, pending] : pending_exchanges_) {
        loop_.cancel(pending.timer);
    }
    for (const auto& [id, pending] : pending_fences_) {
        loop_.cancel(pending.timer);
    }
}

const known_guard* guard_client::find(const target_id& target) const {
    const auto found = guards_.find(target);
    if (found == guards_.end() || loop_.now() - found->second.last_heard > options_.silence_limit) {
        return nullptr;
    }
    return &found->second;
}

bool guard_client::handle_hello(const wire::GuardHello& hello) {
    auto& known = guards_[target_id{hello.target()}];
    if (hello.incarnation() < known.version.get()) {
        return false;
    }
    const bool changed = known.id != hello.guard() || hello.incarnation() != known.version.get();
    known = {.id = hello.guard(),
             .version = incarnation{hello.incarnation()},
             .target = target_id{hello.target()},
             .ticket_in_force = ticket_number{hello.ticket_in_force()},
             .running = hello.running(),
             .draining = hello.draining(),
             .last_heard = loop_.now()};
    if (changed) {
        network_.connect(hello.guard(), hello.zmq_endpoint());
    }
    return changed;
}

void guard_client::send(const target_id& target, const target_request& request,
                        reply_callback done) {
    if (const auto* guard = find(target)) {
        send_via_guard(*guard, request, std::move(done));
        return;
    }
    if (options_.requires_guard && options_.requires_guard(target)) {
        loop_.schedule(duration::zero(),
                       [done = std::move(done)] { done({.outcome = exchange_outcome::not_sent}); });
        return;
    }
    direct_.send(target, request, std::move(done));
}

void guard_client::send_via_guard(const known_guard& guard, const target_request& request,
                                  reply_callback done) {
    const auto id = next_id_++;
    wire::PeerMessage message;
    auto& out = *message.mutable_guard_request();
    out.set_id(id);
    out.set_entry(options_.self.get());
    out.set_entry_incarnation(options_.version.get());
    out.set_guard_incarnation(guard.version.get());
    out.set_workspace(request.workspace.get());
    out.set_path(request.request_class);
    out.set_body(request.body);
    out.set_deadline_ms(remaining_ms(request.deadline));
    for (const auto& header : request.headers) {
        auto& sent = *out.add_headers();
        sent.set_name(header.name);
        sent.set_value(header.value);
    }
    if (request.claim) {
        out.set_claim_key(request.claim->key.get());
        out.set_claim_token(request.claim->offset.get());
        record_claim_guard(guard, request);
    }
    const auto timer = loop_.schedule(request.deadline, [this, id] { handle_timeout(id); });
    pending_exchanges_.emplace(
        id, pending_exchange{.caller_id = request.id, .done = std::move(done), .timer = timer});
    network_.send(guard.id, message);
}

void guard_client::record_claim_guard(const known_guard& guard, const target_request& request) {
    guard_versions_by_claim_[request.claim->offset] = guard.version;
    if (guard_versions_by_claim_.size() > max_recorded_claims) {
        guard_versions_by_claim_.erase(guard_versions_by_claim_.begin());
    }
}

void guard_client::handle_timeout(std::uint64_t id) {
    auto node = pending_exchanges_.extract(id);
    if (!node.empty()) {
        node.mapped().done({.outcome = exchange_outcome::timed_out});
    }
}

void guard_client::abandon(const target_id& target, std::uint64_t request) {
    const auto found =
        std::find_if(pending_exchanges_.begin(), pending_exchanges_.end(),
                     [&](const auto& item) { return item.second.caller_id == request; });
    if (found == pending_exchanges_.end()) {
        direct_.abandon(target, request);
        return;
    }
    loop_.cancel(found->second.timer);
    pending_exchanges_.erase(found);
}

void guard_client::handle_reply(const wire::GuardReply& reply) {
    auto node = pending_exchanges_.extract(reply.id());
    if (node.empty()) {
        ++dropped_replies_;
        return;
    }
    loop_.cancel(node.mapped().timer);
    node.mapped().done(to_target_reply(reply));
}

void guard_client::fence(const target_id& target, const workspace_id& workspace,
                         const claim_token& claim, std::function<void(ran_state)> done) {
    const auto* guard = find(target);
    const auto sent_to = guard_versions_by_claim_.find(claim.offset);
    if (guard == nullptr || sent_to == guard_versions_by_claim_.end()) {
        direct_.fence(target, workspace, claim, std::move(done));
        return;
    }
    const auto id = next_id_++;
    wire::PeerMessage message;
    auto& out = *message.mutable_guard_fence();
    out.set_id(id);
    out.set_workspace(workspace.get());
    out.set_claim_key(claim.key.get());
    out.set_claim_token(claim.offset.get());
    out.set_guard_incarnation(sent_to->second.get());
    const auto timer = loop_.schedule(options_.fence_timeout,
                                      [this, id] { complete_fence(id, ran_state::unknown); });
    pending_fences_.emplace(id, pending_fence{.done = std::move(done), .timer = timer});
    network_.send(guard->id, message);
}

void guard_client::handle_fence_reply(const wire::GuardFenceReply& reply) {
    complete_fence(reply.id(), from_wire(reply.ran()));
}

void guard_client::complete_fence(std::uint64_t id, ran_state ran) {
    auto node = pending_fences_.extract(id);
    if (node.empty()) {
        ++dropped_replies_;
        return;
    }
    loop_.cancel(node.mapped().timer);
    node.mapped().done(ran);
}

}  // namespace baobabrack
