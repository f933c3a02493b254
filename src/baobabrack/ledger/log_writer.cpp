#include "baobabrack/ledger/log_writer.hpp"

#include <algorithm>
#include <utility>

namespace baobabrack {

namespace {

// An append that was taken shortens the time between appends by this part of it.
constexpr duration::rep pace_recovery = 32;

failure never_sent() {
    return {failure_kind::unavailable, "the record was withdrawn before it could be appended",
            "try again when the platform's log takes appends"};
}

failure fate_unknown() {
    return {failure_kind::timed_out, "the record was sent, but its replay did not come in time",
            "look at the state before trying again: the record may have taken effect"};
}

failure replaced_writer() {
    return {failure_kind::fenced, "a newer process with this entry's id writes to the log",
            "give every entry its own id, or stop the older process"};
}

failure too_many_waiting() {
    return {failure_kind::exhausted, "too many records wait for the platform's log",
            "try again later, at a lower rate"};
}

}  // namespace

log_writer::log_writer(runtime& loop, log_service& log, replica& reader, options opts)
    : loop_(loop),
      log_(log),
      replica_(reader),
      options_(std::move(opts)),
      backoff_(options_.backoff_least),
      pace_(options_.append_interval),
      flush_timer_(loop) {
    const std::weak_ptr<bool> alive = alive_;
    replica_.on_applied([this, alive](const replayed_batch& replayed) {
        if (!alive.expired()) {
            take_replayed(replayed);
        }
    });
    replica_.on_reset([this, alive] {
        if (!alive.expired()) {
            settle_skipped();
        }
    });
}

log_writer::~log_writer() = default;

void log_writer::propose(wire::Record record, duration patience, callback done) {
    ++counters_.proposals;
    if (fenced_) {
        refuse_later(std::move(done), replaced_writer());
        return;
    }
    if (waiting_.size() >= options_.most_waiting) {
        refuse_later(std::move(done), too_many_waiting());
        return;
    }
    auto added = std::make_shared<proposal>();
    added->bytes = record.ByteSizeLong();
    added->record = std::move(record);
    added->done = std::move(done);
    const std::weak_ptr<bool> alive = alive_;
    added->patience = loop_.schedule(patience, [this, alive, added] {
        if (!alive.expired()) {
            run_out(added);
        }
    });
    waiting_.push_back(std::move(added));
    if (!flush_timer_.armed()) {
        flush_later(options_.batch_interval);
    }
}

void log_writer::refuse_later(callback done, failure why) {
    ++counters_.refused;
    loop_.schedule(duration::zero(), [done = std::move(done), why = std::move(why)] { done(why); });
}

void log_writer::flush_later(duration delay) {
    const auto earliest = std::max(delay, next_append_ - loop_.now());
    flush_timer_.arm(earliest, [this] { flush(); });
}

void log_writer::flush() {
    if (appending_) {
        return;
    }
    if (flight_ && all_settled(flight_->sent)) {
        // The next batch's sequence voids this one, should it still arrive.
        flight_.reset();
    }
    if (flight_) {
        ++counters_.retries;
        send();
        return;
    }
    if (collect()) {
        send();
    }
}

/// Forms the next batch from what waits.
///
/// @return whether there is one
bool log_writer::collect() {
    flight next;
    wire::LogBatch batch;
    std::size_t bytes = 0;
    while (!waiting_.empty() && next.sent.proposals.size() < options_.most_records) {
        const auto& first = waiting_.front();
        if (!first->settled) {
            if (bytes > 0 && bytes + first->bytes > options_.most_bytes) {
                break;
            }
            bytes += first->bytes;
            *batch.add_records() = first->record;
            first->sent = true;
            next.sent.proposals.push_back(first);
        }
        waiting_.pop_front();
    }
    if (next.sent.proposals.empty()) {
        return false;
    }
    next.sent.sequence = ++sequence_;
    batch.set_format_version(log_format_version);
    batch.set_writer(options_.writer.get());
    batch.set_incarnation(options_.version.get());
    batch.set_sequence(next.sent.sequence);
    batch.set_written_at_ms(loop_.wall_now().time_since_epoch().count());
    next.payload = batch.SerializeAsString();
    flight_ = std::move(next);
    return true;
}

void log_writer::send() {
    appending_ = true;
    next_append_ = loop_.now() + pace_;
    ++counters_.appends;
    counters_.appended_bytes += flight_->payload.size();
    const std::weak_ptr<bool> alive = alive_;
    const auto sequence = flight_->sent.sequence;
    log_.append(flight_->payload, [this, alive, sequence](const result<log_offset>& answer) {
        if (!alive.expired()) {
            take_answer(sequence, answer);
        }
    });
}

void log_writer::take_answer(std::uint64_t sequence, const result<log_offset>& answer) {
    appending_ = false;
    // Replay may have been faster than the answer.
    const auto open = flight_ && flight_->sent.sequence == sequence;
    if (answer) {
        backoff_ = options_.backoff_least;
        speed_up();
        if (open) {
            land(answer.value());
        }
    }
    if (answer || !open) {
        flush_later(duration::zero());
        return;
    }
    switch (answer.error().kind) {
        case failure_kind::timed_out:
            ++counters_.lost_answers;
            lose_answer();
            break;
        case failure_kind::unavailable:
            ++counters_.log_down;
            take_back();
            break;
        case failure_kind::exhausted:
            ++counters_.over_limit;
            take_back();
            slow_down();
            return;
        default:
            refuse_flight(answer.error());
            break;
    }
    back_off();
}

void log_writer::land(log_offset offset) {
    auto landed = std::move(flight_->sent);
    flight_.reset();
    landed.offset = offset;
    if (offset < replica_.next_offset()) {
        // A snapshot has replaced the state meanwhile, so the replay will not tell.
        settle_all(landed, fate_unknown());
        return;
    }
    landed_.push_back(std::move(landed));
    replica_.wake();
}

void log_writer::lose_answer() {
    flight_->uncertain = true;
    replica_.wake();
}

void log_writer::take_back() {
    if (flight_->uncertain) {
        return;
    }
    auto& proposals = flight_->sent.proposals;
    for (auto one = proposals.rbegin(); one != proposals.rend(); ++one) {
        (*one)->sent = false;
        waiting_.push_front(*one);
    }
    flight_.reset();
}

void log_writer::refuse_flight(const failure& error) {
    const auto refused = std::move(*flight_);
    flight_.reset();
    settle_all(refused.sent, refused.uncertain ? fate_unknown() : error);
}

void log_writer::back_off() {
    const auto jitter = static_cast<duration::rep>(loop_.random() % 1024);
    flush_later(backoff_ / 2 + backoff_ * jitter / 2048);
    backoff_ = std::min(backoff_ * 2, options_.backoff_most);
}

void log_writer::slow_down() {
    pace_ = std::min(pace_ + pace_ / 2, options_.append_interval_most);
    const auto jitter = static_cast<duration::rep>(loop_.random() % 1024);
    flush_later(pace_ / 2 + pace_ * jitter / 1024);
}

void log_writer::speed_up() {
    pace_ = std::max(options_.append_interval, pace_ - pace_ / pace_recovery);
}

void log_writer::run_out(const proposal_ptr& late) {
    if (late->settled) {
        return;
    }
    late->patience = timer_id::none;
    if (late->sent) {
        ++counters_.timed_out;
        settle(late, fate_unknown());
        return;
    }
    ++counters_.withdrawn;
    settle(late, never_sent());
}

void log_writer::take_replayed(const replayed_batch& replayed) {
    const auto& batch = replayed.batch;
    if (batch.writer() != options_.writer.get() || batch.incarnation() != options_.version.get()) {
        return;
    }
    fenced_ = fenced_ || replayed.verdict == batch_verdict::fenced;
    settle_before(batch.sequence());
    if (!landed_.empty() && landed_.front().sequence == batch.sequence()) {
        const auto sent = std::move(landed_.front());
        landed_.pop_front();
        settle_batch(sent, replayed);
        return;
    }
    if (flight_ && flight_->sent.sequence == batch.sequence()) {
        const auto sent = std::move(flight_->sent);
        flight_.reset();
        settle_batch(sent, replayed);
    }
}

/// Settles batches that replay has passed without showing them.
void log_writer::settle_before(std::uint64_t sequence) {
    while (!landed_.empty() && landed_.front().sequence < sequence) {
        const auto sent = std::move(landed_.front());
        landed_.pop_front();
        settle_all(sent, fate_unknown());
    }
}

void log_writer::settle_batch(const sent_batch& sent, const replayed_batch& replayed) {
    if (replayed.verdict == batch_verdict::fenced) {
        settle_all(sent, replaced_writer());
        return;
    }
    if (replayed.outcomes.size() != sent.proposals.size()) {
        settle_all(sent, fate_unknown());
        return;
    }
    for (std::size_t index = 0; index < sent.proposals.size(); ++index) {
        settle(sent.proposals[index], replayed.outcomes[index]);
    }
}

/// Settles what a snapshot has jumped over.
void log_writer::settle_skipped() {
    while (!landed_.empty() && landed_.front().offset < replica_.next_offset()) {
        const auto sent = std::move(landed_.front());
        landed_.pop_front();
        settle_all(sent, fate_unknown());
    }
    const auto replayed =
        replica_.state().duplicates().last_sequence(options_.writer, options_.version);
    if (flight_ && replayed >= flight_->sent.sequence) {
        const auto sent = std::move(flight_->sent);
        flight_.reset();
        settle_all(sent, fate_unknown());
    }
}

void log_writer::settle_all(const sent_batch& sent, const failure& why) {
    for (const auto& one : sent.proposals) {
        settle(one, why);
    }
}

void log_writer::settle(const proposal_ptr& one, const result<record_position>& outcome) {
    if (one->settled) {
        return;
    }
    one->settled = true;
    loop_.cancel(one->patience);
    ++(outcome ? counters_.applied : counters_.refused);
    const auto done = std::move(one->done);
    one->record.Clear();
    done(outcome);
}

bool log_writer::all_settled(const sent_batch& sent) {
    return std::all_of(sent.proposals.begin(), sent.proposals.end(),
                       [](const auto& one) { return one->settled; });
}

}  // namespace baobabrack
