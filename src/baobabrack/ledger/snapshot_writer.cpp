#include "baobabrack/ledger/snapshot_writer.hpp"

#include <utility>

#include "baobabrack/ledger/snapshot_chunks.hpp"

namespace baobabrack {

snapshot_writer::snapshot_writer(runtime& loop, replica& reader, proposer& log_writer, options opts)
    : loop_(loop),
      replica_(reader),
      proposer_(log_writer),
      options_(std::move(opts)),
      timer_(loop) {
    const std::weak_ptr<bool> alive = alive_;
    replica_.on_applied([this, alive](const replayed_batch& replayed) {
        if (!alive.expired()) {
            note_chunks(replayed);
        }
    });
}

snapshot_writer::~snapshot_writer() = default;

void snapshot_writer::check_later() {
    timer_.arm(options_.check_interval, [this] { check(); });
}

void snapshot_writer::check() {
    check_later();
    if (writing() || !due() || another_writes()) {
        begin_at_.reset();
        return;
    }
    if (!begin_at_) {
        const auto span = static_cast<std::uint64_t>(options_.most_wait.count()) + 1;
        begin_at_ = loop_.now() + duration{static_cast<duration::rep>(loop_.random() % span)};
    }
    if (loop_.now() >= *begin_at_) {
        begin_at_.reset();
        begin();
    }
}

bool snapshot_writer::due() const {
    // A state with unknown records is not whole, so it must not replace the log.
    if (!replica_.ready() || !replica_.healthy() || !replica_.state().complete()) {
        return false;
    }
    const auto covered = replica_.snapshot_covers().value_or(log_offset{0});
    return replica_.next_offset().get() - covered.get() >= options_.interval_entries;
}

bool snapshot_writer::another_writes() const {
    return other_seen_ && loop_.now() - *other_seen_ < options_.other_writer_limit;
}

void snapshot_writer::note_chunks(const replayed_batch& replayed) {
    const auto& batch = replayed.batch;
    if (batch.writer() == options_.writer.get() && batch.incarnation() == options_.version.get()) {
        return;
    }
    for (const auto& record : batch.records()) {
        if (!record.has_snapshot_chunk()) {
            continue;
        }
        const auto& chunk = record.snapshot_chunk();
        const auto last = chunk.index() + 1 == chunk.count();
        other_seen_ = last ? std::nullopt : std::optional<time_point>(loop_.now());
    }
}

void snapshot_writer::begin() {
    ++counters_.begun;
    const auto covers = replica_.next_offset();
    const auto id = options_.writer.get() + "/" + std::to_string(options_.version.get()) + "/" +
                    std::to_string(++number_);
    chunks_ = cut_snapshot(id, covers, replica_.save_snapshot(), options_.chunk_bytes);
    next_chunk_ = 0;
    write_next();
}

// One chunk at a time, so that other records go between them.
void snapshot_writer::write_next() {
    wire::Record record;
    counters_.chunk_bytes += chunks_[next_chunk_].data().size();
    *record.mutable_snapshot_chunk() = std::move(chunks_[next_chunk_]);
    ++next_chunk_;
    const std::weak_ptr<bool> alive = alive_;
    proposer_.propose(std::move(record), options_.chunk_patience,
                      [this, alive](const result<record_position>& outcome) {
                          if (!alive.expired()) {
                              take_outcome(outcome.has_value());
                          }
                      });
}

void snapshot_writer::take_outcome(bool written) {
    if (written && next_chunk_ == chunks_.size()) {
        ++counters_.finished;
        stop();
        return;
    }
    if (!written || !due()) {
        // A chunk is lost, or another entry's snapshot is whole by now.
        ++counters_.abandoned;
        stop();
        return;
    }
    write_next();
}

void snapshot_writer::stop() {
    chunks_.clear();
    next_chunk_ = 0;
}

}  // namespace baobabrack
