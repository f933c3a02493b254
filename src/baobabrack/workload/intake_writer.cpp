#include "baobabrack/workload/intake_writer.hpp"

#include <algorithm>

#include "baobabrack/observe/json_log.hpp"

namespace baobabrack::workload {

namespace {

using namespace std::chrono_literals;

// One try; an answer takes some tens of milliseconds.
constexpr duration try_timeout = 900ms;
constexpr duration retry_delay = 60ms;
// Tries that were all refused before the caller is told to come back.
constexpr unsigned most_refused_tries = 3;

}  // namespace

/// One record with its tries.
struct intake_writer::pending {
    keyed_record record;
    time_point deadline;
    receipt_handler done;
    /// Whether an earlier try may still take effect.
    bool perhaps_stored = false;
    /// Whether the store has refused this scheduler.
    bool refused = false;
    unsigned tries = 0;
};

intake_writer::intake_writer(options opts, runtime& loop, keyed_log& log, peer_network& network,
                             const peer_pings& peers, std::function<bool()> store_answers,
                             entry_handler on_stored)
    : options_(std::move(opts)),
      loop_(loop),
      log_(log),
      network_(network),
      peers_(peers),
      store_answers_(std::move(store_answers)),
      on_stored_(std::move(on_stored)) {
}

intake_writer::~intake_writer() = default;

void intake_writer::write(keyed_record record, duration deadline, receipt_handler done) {
    auto one = std::make_shared<pending>();
    one->record = std::move(record);
    one->deadline = loop_.now() + deadline;
    one->done = std::move(done);
    send(one);
}

void intake_writer::send(const pending_ptr& one) {
    const auto left = one->deadline - loop_.now();
    if (left <= duration::zero()) {
        one->done(one->perhaps_stored ? receipt::unknown : receipt::not_stored);
        return;
    }
    ++one->tries;
    const bool direct = store_answers_() && !one->refused;
    const auto peer = direct ? std::nullopt : peers_.find_peer_with_store();
    if (!direct && !peer && !one->perhaps_stored && !store_answers_()) {
        one->done(receipt::not_stored);
        return;
    }
    if (peer) {
        forward(one, *peer, std::min(left, try_timeout));
    } else {
        append(one, std::min(left, try_timeout));
    }
}

void intake_writer::append(const pending_ptr& one, duration timeout) {
    log_.append(
        {.topic = options_.topic,
         .records = {one->record},
         .expected_end = std::nullopt,
         .timeout = timeout},
        [this, one, alive = std::weak_ptr<bool>(alive_)](const result<append_reply>& reply) {
            if (!alive.expired()) {
                answered(one, reply);
            }
        });
}

void intake_writer::answered(const pending_ptr& one, const result<append_reply>& reply) {
    if (!reply) {
        one->refused = true;
        fail(one, reply.error().kind);
        return;
    }
    on_stored_({.offset = reply.value().first, .record = one->record});
    one->done(receipt::stored);
}

void intake_writer::forward(const pending_ptr& one, const std::string& peer, duration timeout) {
    const auto id = next_id_++;
    forwarded_[id] = one;
    wire::PeerMessage out;
    auto& message = *out.mutable_workload_intake();
    message.set_id(id);
    message.set_zmq_endpoint(options_.zmq_endpoint);
    message.set_key(one->record.key);
    message.set_value(one->record.value);
    network_.send(peer, out);
    log_event(log_level::info, "append-forwarded").field("key", one->record.key).field("to", peer);
    loop_.schedule(timeout, [this, id, alive = std::weak_ptr<bool>(alive_)] {
        if (alive.expired()) {
            return;
        }
        if (const auto late = forwarded_.extract(id); !late.empty()) {
            fail(late.mapped(), failure_kind::timed_out);
        }
    });
}

void intake_writer::take(const wire::WorkloadIntake& message) {
    const auto reply = [this, id = message.id(), to = message.zmq_endpoint()](
                           wire::WorkloadIntakeReply::Receipt outcome, log_offset offset) {
        wire::PeerMessage out;
        out.mutable_workload_intake_reply()->set_id(id);
        out.mutable_workload_intake_reply()->set_receipt(outcome);
        out.mutable_workload_intake_reply()->set_offset(offset.get());
        network_.send(to, out);
    };
    if (!store_answers_()) {
        reply(wire::WorkloadIntakeReply::NOT_STORED, {});
        return;
    }
    const keyed_record record{.key = message.key(), .value = message.value()};
    log_.append(
        {.topic = options_.topic,
         .records = {record},
         .expected_end = std::nullopt,
         .timeout = try_timeout},
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
            const bool lost = stored.error().kind == failure_kind::timed_out;
            reply(lost ? wire::WorkloadIntakeReply::UNKNOWN : wire::WorkloadIntakeReply::NOT_STORED,
                  {});
        });
}

void intake_writer::take(const wire::WorkloadIntakeReply& message) {
    const auto found = forwarded_.extract(message.id());
    if (found.empty()) {
        return;
    }
    const auto one = found.mapped();
    if (message.receipt() == wire::WorkloadIntakeReply::STORED) {
        on_stored_({.offset = log_offset{message.offset()}, .record = one->record});
        one->done(receipt::stored);
        return;
    }
    const bool refused = message.receipt() == wire::WorkloadIntakeReply::NOT_STORED;
    fail(one, refused ? failure_kind::unavailable : failure_kind::timed_out);
}

void intake_writer::fail(const pending_ptr& one, failure_kind why) {
    one->perhaps_stored = one->perhaps_stored || why == failure_kind::timed_out;
    log_event(log_level::warning, "append-failed")
        .field("key", one->record.key)
        .field("try", one->tries)
        .field("reason", to_string(why));
    if (!one->perhaps_stored && one->tries >= most_refused_tries) {
        one->done(receipt::not_stored);
        return;
    }
    // The first refusal is followed at once by a try at another scheduler.
    const auto delay =
        one->tries == 1 && peers_.find_peer_with_store() ? duration::zero() : retry_delay;
    loop_.schedule(delay, [this, one, alive = std::weak_ptr<bool>(alive_)] {
        if (!alive.expired()) {
            send(one);
        }
    });
}

}  // namespace baobabrack::workload
