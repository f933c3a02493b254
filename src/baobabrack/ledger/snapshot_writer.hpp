#ifndef BAOBABRACK_LEDGER_SNAPSHOT_WRITER_HPP
#define BAOBABRACK_LEDGER_SNAPSHOT_WRITER_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "baobabrack/ledger/proposer.hpp"
#include "baobabrack/ledger/replica.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"

namespace baobabrack {

struct snapshot_writer_counters {
    std::uint64_t begun = 0;
    std::uint64_t finished = 0;
    /// Given up, because a chunk failed or another entry was first.
    std::uint64_t abandoned = 0;
    std::uint64_t chunk_bytes = 0;
};

/// Writes the replicated state into the log again, well before the oldest record that a new
/// process needs expires.
///
/// Every entry may do so; the one whose random wait ends first does, and the others see its
/// chunks pass and hold back. Two at once, or one that stops half-way, cost appends and nothing
/// else.
class snapshot_writer {
public:
    struct options {
        entry_id writer;
        incarnation version;
        /// Entries of the log between two snapshots; at most a third of the log's retention.
        std::uint64_t interval_entries = 10'000;
        /// How often the need is looked at.
        duration check_interval = std::chrono::seconds{1};
        /// Random wait before a snapshot begins, at most this long.
        duration most_wait = std::chrono::seconds{3};
        /// A snapshot that another entry began is waited for this long.
        duration other_writer_limit = std::chrono::seconds{20};
        std::size_t chunk_bytes = 128U << 10U;
        duration chunk_patience = std::chrono::seconds{30};
    };

    snapshot_writer(runtime& loop, replica& reader, proposer& log_writer, options opts);
    ~snapshot_writer();

    /// Begins to watch for the need.
    void start() { check_later(); }

    /// @return whether a snapshot is being written
    bool writing() const { return !chunks_.empty(); }

    const snapshot_writer_counters& counters() const { return counters_; }

private:
    void check_later();
    void check();
    bool due() const;
    bool another_writes() const;
    void note_chunks(const replayed_batch& replayed);
    void begin();
    void write_next();
    void take_outcome(bool written);
    void stop();

    runtime& loop_;
    replica& replica_;
    proposer& proposer_;
    options options_;
    std::uint64_t number_ = 0;
    std::vector<wire::SnapshotChunk> chunks_;
    std::size_t next_chunk_ = 0;
    std::optional<time_point> other_seen_;
    std::optional<time_point> begin_at_;
    snapshot_writer_counters counters_;
    scoped_timer timer_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace baobabrack

#endif
