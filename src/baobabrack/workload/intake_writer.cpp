#include "baobabrack/workload/intake_writer.hpp"

#include <algorithm>

#include "baobabrack/observe/json_log.hpp"

namespace baobabrack::workload {

namespace {

using namespace std::chrono_literals;

// Timeout of one attempt; the store usually answers within some tens of milliseconds.
constexpr duration attempt_timeout = 900ms;
constexpr duration retry_delay = 60ms;
// After this many attempts, all refused, a write ends as not stored.
constexpr unsigned max_refused_attempts = 3;

}  // namespace

/// A record that is being stored, and the state of its attempts.
struct intake_writer::pending_write {
    keyed_record record;
    time_point deadline;
    receipt_handler done;
    /// Whether an earlier attempt may still take effect.
    bool possibly_stored = false;
    /// Whether the store has refused this scheduler.
    bool refused = false;
    unsigned attempts = 0;
};

intake_writer::intake_writer(options opts, runtime& loop, keyed_log& log, peer_network& network,
                             const peer_pings& peers, std::function<bool()> store_available,
                             entry_handler on_stored)
    : options_(std::move(opts)),
      loop_(loop),
      log_(log),
      network_(network),
      peers_(peers),
      store_available_(std::move(store_available)),
      on_stored_(std::move(on_stored)) {
}

intake_writer::~intake_writer() = default;

void intake_writer::write(keyed_record record, duration deadline, receipt_handler done) {
    auto pending = std::make_shared<pending_write>();
    pending->record = std::move(record);
    pending->deadline = loop_.now() + deadline;
    pending->done = std::move(done);
    start_attempt(pending);
}

void intake_writer::start_attempt(const pending_write_ptr& pending) {
    const auto remaining = pending->deadline - loop_.now();
    if (remaining <= duration::zero()) {
        pending->done(pending->possibly_stored ? receipt::unknown : receipt::not_stored);
        return;
    }
    ++pending->attempts;
    const bool direct = store_available_() && !pending->refused;
    const auto peer = direct ? std::nullopt : peers_.find_peer_with_store();
    if (!direct && !peer && !pending->possibly_stored && !store_available_()) {
        pending->done(receipt::not_stored);
        return;
    }
    if (peer) {
        forward(pending, *peer, std::min(remaining, attempt_timeout));
    } else {
        append(pending, std::min(remaining, attempt_timeout));
    }
}

void intake_writer::append(const pending_write_ptr& pending, duration timeout) {
    log_.append(
        {.topic = options_.topic,
         .records = {pending->record},
         .expected_end = std::nullopt,
         .timeout = timeout},
        [this, pending, alive = std::weak_ptr<bool>(alive_)](const result<append_reply>& reply) {
            if (!alive.expired()) {
                handle_append_reply(pending, reply);
            }
        });
}

void intake_writer::handle_append_reply(const pending_write_ptr& pending,
                                        const result<append_reply>& reply) {
    if (!reply) {
        pending->refused = true;
        handle_failure(pending, reply.error().kind);
        return;
    }
    on_stored_({.offset = reply.value().first, .record = pending->record});
    pending->done(receipt::stored);
}

void intake_writer::forward(const pending_write_ptr& pending, const std::string& peer,
                            duration timeout) {
    const auto id = next_id_++;
    forwarded_[id] = pending;
    wire::PeerMessage out;
    auto& message = *out.mutable_workload_intake();
    message.set_id(id);
    message.set_zmq_endpoint(options_.zmq_endpoint);
    message.set_key(pending->record.key);
    message.set_value(pending->record.value);
    network_.send(peer, out);
    log_event(log_level::info, "append-forwarded")
        .field("key", pending->record.key)
        .field("to", peer);
    loop_.schedule(timeout, [this, id, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) {
            return;
        }
        if (const auto overdue = forwarded_.extract(id); !overdue.empty()) {
            handle_failure(overdue.mapped(), failure_kind::timed_out);
        }
    });
}

void intake_writer::handle(const wire::WorkloadIntake& message) {
    const auto reply = [this, id = message.id(), to = message.zmq_endpoint()](
                           wire::WorkloadIntakeReply::Receipt outcome, log_offset offset) {
        wire::PeerMessage out;
        out.mutable_workload_intake_reply()->set_id(id);
        out.mutable_workload_intake_reply()->set_receipt(outcome);
        out.mutable_workload_intake_reply()->set_offset(offset.get());
        network_.send(to, out);
    };
    if (!store_available_()) {
        reply(wire::WorkloadIntakeReply::NOT_STORED, {});
        return;
    }
    const keyed_record record{.key = message.key(), .value = message.value()};
    log_.append({.topic = options_.topic,
                 .records = {record},
                 .expected_end = std::nullopt,
                 .timeout = attempt_timeout},
                [this, record, reply,
                 alive = std::weak_ptr<bool>(alive_)](const result<append_reply>& stored) {
                    if (alive.expired()) {
                        return;
                    }
                    if (stored) {
                        on_stored_({.offset = stored.value().first, .record = record});
                        reply(wire::WorkloadIntakeReply::STORED, stored.value().first);
                        return;
                    }
                    const bool unanswered = stored.error().kind == failure_kind::timed_out;
                    reply(unanswered ? wire::WorkloadIntakeReply::UNKNOWN
                                     : wire::WorkloadIntakeReply::NOT_STORED,
                          {});
                });
}

void intake_writer::handle(const wire::WorkloadIntakeReply& message) {
    const auto found = forwarded_.extract(message.id());
    if (found.empty()) {
        return;
    }
    const auto pending = found.mapped();
    if (message.receipt() == wire::WorkloadIntakeReply::STORED) {
        on_stored_({.offset = log_offset{message.offset()}, .record = pending->record});
        pending->done(receipt::stored);
        return;
    }
    const bool refused = message.receipt() == wire::WorkloadIntakeReply::NOT_STORED;
    handle_failure(pending, refused ? failure_kind::unavailable : failure_kind::timed_out);
}

void intake_writer::handle_failure(const pending_write_ptr& pending, failure_kind cause) {
    pending->possibly_stored = pending->possibly_stored || cause == failure_kind::timed_out;
    log_event(log_level::warning, "append-failed")
        .field("key", pending->record.key)
        .field("try", pending->attempts)
        .field("reason", to_string(cause));
    if (!pending->possibly_stored && pending->attempts >= max_refused_attempts) {
        pending->done(receipt::not_stored);
        return;
    }
    // After the first failure, another scheduler is tried without delay.
    const auto delay =
        pending->attempts == 1 && peers_.find_peer_with_store() ? duration::zero() : retry_delay;
    loop_.schedule(delay, [this, pending, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) {
            start_attempt(pending);
        }
    });
}

}  // namespace baobabrack::workload
