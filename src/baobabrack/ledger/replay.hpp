#ifndef BAOBABRACK_LEDGER_REPLAY_HPP
#define BAOBABRACK_LEDGER_REPLAY_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/ledger/duplicate_filter.hpp"
#include "baobabrack/ledger/replicated_state.hpp"
#include "baobabrack/records.pb.h"
#include "baobabrack/units/failure.hpp"

namespace baobabrack {

/// Newest format of batches and snapshots that this code writes.
constexpr std::uint32_t log_format_version = 1;

/// A batch with what came of each of its records.
struct replayed_batch {
    wire::LogBatch batch;
    log_offset offset;
    batch_verdict verdict = batch_verdict::fresh;
    /// One for each record if the verdict is `fresh`; empty otherwise.
    std::vector<result<record_position>> outcomes;
};

struct replay_counters {
    std::uint64_t batches = 0;
    std::uint64_t records = 0;
    std::uint64_t refused_records = 0;
    std::uint64_t duplicate_batches = 0;
    std::uint64_t fenced_batches = 0;
    std::uint64_t undecodable_batches = 0;
    /// Records of a kind that this version does not know.
    std::uint64_t unknown_records = 0;
    /// Snapshot sections that this version does not know.
    std::uint64_t unknown_sections = 0;
};

/// Applies the log's entries in order to the replicated states: the same entries give the same
/// state on every replica.
class replay {
public:
    /// @param states must outlive this; a record goes to each that handles it, in this order, and
    ///               no further once one refuses it
    explicit replay(std::vector<replicated_state*> states);

    /// Applies the entry at `next_offset`.
    ///
    /// @param payload an encoded wire::LogBatch; one that cannot be decoded is counted and skipped
    replayed_batch apply(std::string_view payload);

    /// @return offset of the next entry to apply
    log_offset next_offset() const { return next_offset_; }

    /// @return time of the newest batch; never goes back
    wall_time log_time() const { return log_time_; }

    /// @return whether every record and section so far was understood, so that the state is whole
    bool complete() const;

    /// @return hash over every section and the offset; replicas at one offset have one digest
    std::uint64_t digest() const;

    /// @return an encoded wire::StateSnapshot of the whole state
    std::string save() const;

    /// Replaces the whole state by a snapshot.
    ///
    /// @return `invalid` if it cannot be decoded, `expired` if it is older than this state; the
    ///         state is then unchanged
    result<void> load(std::string_view snapshot);

    const replay_counters& counters() const { return counters_; }
    const duplicate_filter& duplicates() const { return duplicates_; }

private:
    result<record_position> apply_record(const wire::Record& record,
                                         const record_position& position);
    wire::StateSnapshot to_snapshot() const;
    result<void> load_sections(const wire::StateSnapshot& snapshot);
    result<void> load_progress(const wire::StateSnapshot& snapshot);
    std::uint64_t count_unknown(const wire::StateSnapshot& snapshot) const;

    std::vector<replicated_state*> states_;
    duplicate_filter duplicates_;
    log_offset next_offset_{0};
    wall_time log_time_{};
    replay_counters counters_;
};

}  // namespace baobabrack

#endif
