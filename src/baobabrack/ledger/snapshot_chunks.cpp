#include "baobabrack/ledger/snapshot_chunks.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "baobabrack/records.pb.h"

namespace baobabrack {

namespace {

std::uint64_t checksum(const wire::SnapshotChunk& chunk) {
    // The chunk's place is part of what is checked, so that parts cannot be mixed up.
    const auto seed = chunk.covers() ^ (std::uint64_t{chunk.index()} << 32U) ^ chunk.count();
    return XXH3_64bits_withSeed(chunk.data().data(), chunk.data().size(), seed);
}

}  // namespace

std::vector<wire::SnapshotChunk> cut_snapshot(const std::string& id, log_offset covers,
                                              std::string_view snapshot, std::size_t bytes) {
    const auto count = std::max<std::size_t>(1, (snapshot.size() + bytes - 1) / bytes);
    std::vector<wire::SnapshotChunk> chunks(count);
    for (std::size_t index = 0; index < count; ++index) {
        auto& chunk = chunks[index];
        chunk.set_snapshot(id);
        chunk.set_covers(covers.get());
        chunk.set_index(static_cast<std::uint32_t>(index));
        chunk.set_count(static_cast<std::uint32_t>(count));
        chunk.set_data(std::string(snapshot.substr(index * bytes, bytes)));
        chunk.set_checksum(checksum(chunk));
    }
    return chunks;
}

bool snapshot_assembler::sound(const wire::SnapshotChunk& chunk) const {
    if (chunk.count() == 0 || chunk.index() >= chunk.count() ||
        chunk.data().size() > max_snapshot_bytes || chunk.checksum() != checksum(chunk)) {
        return false;
    }
    const auto found = unfinished_.find(chunk.snapshot());
    if (found == unfinished_.end()) {
        return true;
    }
    const auto& known = found->second;
    return known.covers == chunk.covers() && known.count == chunk.count() &&
           known.bytes + chunk.data().size() <= max_snapshot_bytes;
}

void snapshot_assembler::make_room(const std::string& id, std::uint64_t covers) {
    if (unfinished_.contains(id) || unfinished_.size() < options_.most_unfinished) {
        return;
    }
    const auto least = std::min_element(unfinished_.begin(), unfinished_.end(),
                                        [](const auto& left, const auto& right) {
                                            return left.second.covers < right.second.covers;
                                        });
    if (least->second.covers <= covers) {
        unfinished_.erase(least);
    }
}

std::optional<whole_snapshot> snapshot_assembler::add(const wire::SnapshotChunk& chunk) {
    if (!sound(chunk)) {
        ++refused_;
        return std::nullopt;
    }
    make_room(chunk.snapshot(), chunk.covers());
    if (!unfinished_.contains(chunk.snapshot()) && unfinished_.size() >= options_.most_unfinished) {
        return std::nullopt;
    }
    auto& known = unfinished_[chunk.snapshot()];
    known.covers = chunk.covers();
    known.count = chunk.count();
    if (!known.parts.emplace(chunk.index(), options_.keep_bytes ? chunk.data() : "").second) {
        return std::nullopt;
    }
    known.bytes += chunk.data().size();
    if (known.parts.size() < known.count) {
        return std::nullopt;
    }
    whole_snapshot whole{.id = chunk.snapshot(), .covers = log_offset{chunk.covers()}};
    for (const auto& [index, part] : known.parts) {
        whole.bytes += part;
    }
    unfinished_.erase(chunk.snapshot());
    return whole;
}

}  // namespace baobabrack
