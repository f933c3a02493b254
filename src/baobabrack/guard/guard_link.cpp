#include "baobabrack/guard/guard_link.hpp"

#include <algorithm>
#include <utility>

#include "baobabrack/codec/ran_codec.hpp"

namespace baobabrack {

namespace {

constexpr std::size_t most_remembered_claims = 10'000;

exchange_outcome end_of(const wire::GuardReply& reply) {
    switch (reply.ran()) {
        case wire::RAN_NO:
            return exchange_outcome::refused_not_run;
        case wire::RAN_YES:
            // A key that has run before is refused without its answer.
            return reply.status() == 0 ? exchange_outcome::broken : exchange_outcome::answered;
        default:
            return reply.reason() == "answer-timed-out" ? exchange_outcome::timed_out
                                                        : exchange_outcome::broken;
    }
}

target_reply to_reply(const wire::GuardReply& reply) {
    target_reply out{
        .outcome = end_of(reply), .status = static_cast<int>(reply.status()), .body = reply.body()};
    for (const auto& header : reply.headers()) {
        out.headers.push_back({header.name(), header.value()});
    }
    return out;
}

std::uint32_t milliseconds_left(duration deadline) {
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline).count();
    return static_cast<std::uint32_t>(std::max<std::int64_t>(left, 1));
}

}  // namespace

guard_link::guard_link(options opts, runtime& loop, peer_network& network, target_service& direct)
    : options_(std::move(opts)), loop_(loop), network_(network), direct_(direct) {
}

guard_link::~guard_link() {
    for (const auto& [id, pending] : exchanges_) {
        loop_.cancel(pending.timer);
    }
    for (const auto& [id, pending] : fencings_) {
        loop_.cancel(pending.timer);
    }
}

const known_guard* guard_link::find(const target_id& target) const {
    const auto found = guards_.find(target);
    if (found == guards_.end() || loop_.now() - found->second.last_heard > options_.silence_limit) {
        return nullptr;
    }
    return &found->second;
}

bool guard_link::hear(const wire::GuardHello& hello) {
    auto& known = guards_[target_id{hello.target()}];
    if (hello.incarnation() < known.version.get()) {
        return false;
    }
    const bool news = known.id != hello.guard() || hello.incarnation() != known.version.get();
    known = {.id = hello.guard(),
             .version = incarnation{hello.incarnation()},
             .target = target_id{hello.target()},
             .ticket_in_force = ticket_number{hello.ticket_in_force()},
             .running = hello.running(),
             .draining = hello.draining(),
             .last_heard = loop_.now()};
    if (news) {
        network_.connect(hello.guard(), hello.zmq_endpoint());
    }
    return news;
}

void guard_link::send(const target_id& target, const target_request& request, reply_callback done) {
    if (const auto* guard = find(target)) {
        send_through(*guard, request, std::move(done));
        return;
    }
    if (options_.behind_guard && options_.behind_guard(target)) {
        loop_.schedule(duration::zero(),
                       [done = std::move(done)] { done({.outcome = exchange_outcome::not_sent}); });
        return;
    }
    direct_.send(target, request, std::move(done));
}

void guard_link::send_through(const known_guard& guard, const target_request& request,
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
    out.set_deadline_ms(milliseconds_left(request.deadline));
    for (const auto& header : request.headers) {
        auto& sent = *out.add_headers();
        sent.set_name(header.name);
        sent.set_value(header.value);
    }
    if (request.claim) {
        out.set_claim_key(request.claim->key.get());
        out.set_claim_token(request.claim->offset.get());
        remember_claim(guard, request);
    }
    const auto timer = loop_.schedule(request.deadline, [this, id] { expire(id); });
    exchanges_.emplace(id,
                       exchange{.caller_id = request.id, .done = std::move(done), .timer = timer});
    network_.send(guard.id, message);
}

void guard_link::remember_claim(const known_guard& guard, const target_request& request) {
    claim_guards_[request.claim->offset] = guard.version;
    if (claim_guards_.size() > most_remembered_claims) {
        claim_guards_.erase(claim_guards_.begin());
    }
}

void guard_link::expire(std::uint64_t id) {
    auto node = exchanges_.extract(id);
    if (!node.empty()) {
        node.mapped().done({.outcome = exchange_outcome::timed_out});
    }
}

void guard_link::abandon(const target_id& target, std::uint64_t request) {
    const auto found = std::find_if(exchanges_.begin(), exchanges_.end(), [&](const auto& item) {
        return item.second.caller_id == request;
    });
    if (found == exchanges_.end()) {
        direct_.abandon(target, request);
        return;
    }
    loop_.cancel(found->second.timer);
    exchanges_.erase(found);
}

void guard_link::hear(const wire::GuardReply& reply) {
    auto node = exchanges_.extract(reply.id());
    if (node.empty()) {
        ++dropped_answers_;
        return;
    }
    loop_.cancel(node.mapped().timer);
    node.mapped().done(to_reply(reply));
}

void guard_link::fence(const target_id& target, const workspace_id& workspace,
                       const claim_token& claim, std::function<void(ran_state)> done) {
    const auto* guard = find(target);
    const auto sent_to = claim_guards_.find(claim.offset);
    if (guard == nullptr || sent_to == claim_guards_.end()) {
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
    const auto timer =
        loop_.schedule(options_.fence_timeout, [this, id] { end_fence(id, ran_state::unknown); });
    fencings_.emplace(id, fencing{.done = std::move(done), .timer = timer});
    network_.send(guard->id, message);
}

void guard_link::hear(const wire::GuardFenceReply& reply) {
    end_fence(reply.id(), from_wire(reply.ran()));
}

void guard_link::end_fence(std::uint64_t id, ran_state ran) {
    auto node = fencings_.extract(id);
    if (node.empty()) {
        ++dropped_answers_;
        return;
    }
    loop_.cancel(node.mapped().timer);
    node.mapped().done(ran);
}

}  // namespace baobabrack
