#include "baobabrack/guard/guard_node.hpp"

#include <utility>

#include "baobabrack/codec/ran_codec.hpp"

namespace baobabrack {

namespace {

constexpr std::string_view running_gauge = "baobabrack_guard_running";

wire::RanState to_ran_state(exchange_outcome outcome) {
    switch (outcome) {
        case exchange_outcome::answered:
            return wire::RAN_YES;
        case exchange_outcome::not_sent:
        case exchange_outcome::refused_not_run:
            return wire::RAN_NO;
        case exchange_outcome::broken:
        case exchange_outcome::timed_out:
            return wire::RAN_UNKNOWN;
    }
    return wire::RAN_UNKNOWN;
}

std::string reason_of(exchange_outcome outcome) {
    switch (outcome) {
        case exchange_outcome::answered:
            return "";
        case exchange_outcome::not_sent:
            return "target-unreachable";
        case exchange_outcome::refused_not_run:
            return "target-refused";
        case exchange_outcome::broken:
            return "answer-broken";
        case exchange_outcome::timed_out:
            return "answer-timed-out";
    }
    return "answer-broken";
}

fence_table::key make_key(const std::string& workspace, const std::string& name) {
    return {.workspace = workspace_id{workspace}, .name = idempotency_key{name}};
}

target_request to_target_request(const wire::GuardRequest& request, std::uint64_t id) {
    target_request out{.id = id,
                       .workspace = workspace_id{request.workspace()},
                       .request_class = request.path(),
                       .body = request.body(),
                       .deadline = std::chrono::milliseconds{request.deadline_ms()}};
    for (const auto& header : request.headers()) {
        out.headers.push_back({header.name(), header.value()});
    }
    if (!request.claim_key().empty()) {
        out.claim = claim_token{.key = idempotency_key{request.claim_key()},
                                .offset = log_offset{request.claim_token()}};
    }
    return out;
}

}  // namespace

guard_node::guard_node(options opts, runtime& loop, peer_network& network, target_service& direct,
                       metrics_registry& metrics)
    : options_(std::move(opts)),
      loop_(loop),
      network_(network),
      direct_(direct),
      metrics_(metrics),
      fences_(options_.fences),
      hello_timer_(loop) {
    network_.on_message([this](const std::string& sender, const wire::PeerMessage& message) {
        receive(sender, message);
    });
}

void guard_node::start() {
    send_hello();
}

void guard_node::drain(std::function<void()> done) {
    draining_ = true;
    send_hello();
    if (running_ == 0) {
        loop_.schedule(duration::zero(), std::move(done));
        return;
    }
    on_drained_ = std::move(done);
}

void guard_node::receive(const std::string& sender, const wire::PeerMessage& message) {
    switch (message.kind_case()) {
        case wire::PeerMessage::kGuardRequest:
            handle_request(sender, message.guard_request());
            return;
        case wire::PeerMessage::kGuardFence:
            handle_fence(sender, message.guard_fence());
            return;
        case wire::PeerMessage::kGuardPolicy:
            handle_policy(message.guard_policy());
            return;
        default:
            metrics_
                .get_counter("baobabrack_guard_unexpected_messages_total",
                             "Messages of a kind that guards do not take.")
                .add();
    }
}

std::string guard_node::refusal_reason(const wire::GuardRequest& request) const {
    if (request.guard_incarnation() != options_.version.get()) {
        return "wrong-incarnation";
    }
    if (draining_) {
        return "draining";
    }
    if (running_ >= options_.slots) {
        return "slots-taken";
    }
    return "";
}

void guard_node::handle_request(const std::string& sender, const wire::GuardRequest& request) {
    if (const auto reason = refusal_reason(request); !reason.empty()) {
        refuse(sender, request.id(), wire::RAN_NO, reason);
        return;
    }
    if (request.claim_key().empty()) {
        run(sender, request);
        return;
    }
    const auto key = make_key(request.workspace(), request.claim_key());
    switch (fences_.admit(key, log_offset{request.claim_token()}, loop_.now())) {
        case fence_table::admission::admitted:
            run(sender, request);
            return;
        case fence_table::admission::running:
            refuse(sender, request.id(), wire::RAN_UNKNOWN, "key-running");
            return;
        case fence_table::admission::has_run:
            refuse(sender, request.id(), wire::RAN_YES, "key-has-run");
            return;
        case fence_table::admission::fenced:
            refuse(sender, request.id(), wire::RAN_NO, "key-fenced");
            return;
    }
}

void guard_node::run(const std::string& sender, const wire::GuardRequest& request) {
    ++running_;
    metrics_.get_gauge(running_gauge, "Requests running at the target.").set(running_);
    direct_.send(
        options_.target, to_target_request(request, next_request_id_++),
        [this, sender, request](target_reply reply) { finish(sender, request, std::move(reply)); });
}

void guard_node::finish(const std::string& sender, const wire::GuardRequest& request,
                        target_reply reply) {
    --running_;
    metrics_.get_gauge(running_gauge, "Requests running at the target.").set(running_);
    const auto ran = to_ran_state(reply.outcome);
    if (!request.claim_key().empty()) {
        fences_.finish(make_key(request.workspace(), request.claim_key()), from_wire(ran),
                       loop_.now());
    }
    wire::GuardReply answer;
    answer.set_id(request.id());
    answer.set_ran(ran);
    answer.set_reason(reason_of(reply.outcome));
    answer.set_status(static_cast<std::uint32_t>(reply.status));
    answer.set_body(std::move(reply.body));
    for (auto& header : reply.headers) {
        auto& sent = *answer.add_headers();
        sent.set_name(std::move(header.name));
        sent.set_value(std::move(header.value));
    }
    send(sender, answer);
    if (running_ == 0 && on_drained_) {
        std::exchange(on_drained_, nullptr)();
    }
}

void guard_node::refuse(const std::string& sender, std::uint64_t request, wire::RanState ran,
                        const std::string& reason) {
    metrics_
        .get_counter("baobabrack_guard_refusals_total", "Requests the guard refused, by reason.",
                     {{"reason", reason}})
        .add();
    wire::GuardReply answer;
    answer.set_id(request);
    answer.set_ran(ran);
    answer.set_reason(reason);
    send(sender, answer);
}

void guard_node::handle_fence(const std::string& sender, const wire::GuardFence& fence) {
    wire::PeerMessage message;
    auto& reply = *message.mutable_guard_fence_reply();
    reply.set_id(fence.id());
    // Another incarnation may have run the key, so this one must not report that it did not run.
    const bool same_incarnation = fence.guard_incarnation() == options_.version.get();
    const auto ran = fences_.fence(make_key(fence.workspace(), fence.claim_key()),
                                   log_offset{fence.claim_token()}, loop_.now());
    reply.set_ran(same_incarnation || ran == ran_state::yes ? to_wire(ran) : wire::RAN_UNKNOWN);
    network_.send(sender, message);
}

void guard_node::handle_policy(const wire::GuardPolicy& policy) {
    if (policy.ticket() <= policy_ticket_ || policy.slots() == 0) {
        return;
    }
    policy_ticket_ = policy.ticket();
    options_.slots = policy.slots();
}

void guard_node::send_hello() {
    fences_.expire(loop_.now());
    wire::PeerMessage message;
    auto& hello = *message.mutable_guard_hello();
    hello.set_guard(options_.id);
    hello.set_incarnation(options_.version.get());
    hello.set_target(options_.target.get());
    hello.set_zmq_endpoint(options_.zmq_endpoint);
    hello.set_ticket_in_force(policy_ticket_);
    hello.set_running(running_);
    hello.set_draining(draining_);
    for (const auto& entry : options_.entries) {
        network_.send(entry, message);
    }
    hello_timer_.arm(options_.hello_interval, [this] { send_hello(); });
}

void guard_node::send(const std::string& peer, const wire::GuardReply& reply) {
    wire::PeerMessage message;
    *message.mutable_guard_reply() = reply;
    network_.send(peer, message);
}

}  // namespace baobabrack
