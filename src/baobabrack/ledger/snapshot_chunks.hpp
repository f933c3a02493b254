#ifndef BAOBABRACK_LEDGER_SNAPSHOT_CHUNKS_HPP
#define BAOBABRACK_LEDGER_SNAPSHOT_CHUNKS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/units/ids.hpp"

namespace baobabrack {

namespace wire {
class SnapshotChunk;
}

/// Largest snapshot that is put together from chunks.
constexpr std::size_t max_snapshot_bytes = 256U << 20U;

/// Cuts a snapshot into chunks, each with its checksum.
///
/// @param id    names this snapshot among all that are written
/// @param bytes at most this many a chunk
std::vector<wire::SnapshotChunk> cut_snapshot(const std::string& id, log_offset covers,
                                              std::string_view snapshot, std::size_t bytes);

/// A snapshot of which every chunk has come.
struct whole_snapshot {
    std::string id;
    /// The snapshot holds the state after every record below this offset.
    log_offset covers;
    std::string bytes;
};

/// Puts snapshots together from chunks, which may come in any order, twice, mixed with those of
/// other snapshots, or never.
class snapshot_assembler {
public:
    struct options {
        /// Whether to keep the bytes; without them it only tells that a snapshot is whole.
        bool keep_bytes = true;
        /// Unfinished snapshots that are kept; the one that covers least is dropped first.
        std::size_t most_unfinished = 8;
    };

    explicit snapshot_assembler(options opts) : options_(opts) {}

    /// Takes a chunk in.
    ///
    /// @return the snapshot, if this was its last missing chunk
    std::optional<whole_snapshot> add(const wire::SnapshotChunk& chunk);

    void clear() { unfinished_.clear(); }

    /// @return chunks that were refused: damaged, too large, or contradicting earlier ones
    std::uint64_t refused() const { return refused_; }

private:
    struct unfinished {
        std::uint64_t covers = 0;
        std::uint32_t count = 0;
        std::size_t bytes = 0;
        std::map<std::uint32_t, std::string> parts;
    };

    bool sound(const wire::SnapshotChunk& chunk) const;
    void make_room(const std::string& id, std::uint64_t covers);

    options options_;
    std::map<std::string, unfinished> unfinished_;
    std::uint64_t refused_ = 0;
};

}  // namespace baobabrack

#endif
