#include "baobabrack/node/snapshot_transfer.hpp"

#include <xxhash.h>

#include <algorithm>

#include "baobabrack/ledger/replica.hpp"
#include "baobabrack/membership/roster.hpp"

namespace baobabrack {

namespace {

// Larger snapshots are rejected before memory is allocated for them.
constexpr std::uint32_t max_chunks = 4096;

}  // namespace

snapshot_transfer::snapshot_transfer(options opts, runtime& loop, replica& state,
                                     const roster& peers, peer_network& network)
    : options_(opts),
      loop_(loop),
      replica_(state),
      roster_(peers),
      network_(network),
      request_timer_(loop) {
}

void snapshot_transfer::start() {
    request_timer_.arm(options_.request_delay, [this] { request_snapshot(); });
}

void snapshot_transfer::request_snapshot() {
    if (replica_.ready()) {
        return;
    }
    wire::PeerMessage message;
    message.mutable_snapshot_request()->set_entry(roster_.self().get());
    std::vector<entry_id> candidates;
    for (const auto& [id, peer] : roster_.peers()) {
        if (roster_.is_alive(peer) && peer.next_offset > replica_.next_offset()) {
            candidates.push_back(id);
        }
    }
    if (!candidates.empty()) {
        network_.send(candidates[loop_.random() % candidates.size()].get(), message);
    }
    request_timer_.arm(options_.retry_interval, [this] { request_snapshot(); });
}

void snapshot_transfer::send_snapshot(const std::string& peer) const {
    if (!replica_.ready()) {
        return;
    }
    const auto state = replica_.save_snapshot();
    const auto count = state.size() / options_.chunk_bytes + 1;
    const auto checksum = XXH3_64bits(state.data(), state.size());
    for (std::size_t index = 0; index < count; ++index) {
        wire::PeerMessage message;
        auto& chunk = *message.mutable_snapshot_reply();
        chunk.set_index(static_cast<std::uint32_t>(index));
        chunk.set_count(static_cast<std::uint32_t>(count));
        chunk.set_checksum(checksum);
        chunk.set_data(state.substr(index * options_.chunk_bytes, options_.chunk_bytes));
        network_.send(peer, message);
    }
}

void snapshot_transfer::handle_chunk(const std::string& peer, const wire::SnapshotReply& chunk) {
    if (replica_.ready() || chunk.index() >= chunk.count() || chunk.count() > max_chunks) {
        return;
    }
    auto& assembled = assemblies_[peer];
    if (assembled.checksum != chunk.checksum() || assembled.count != chunk.count()) {
        assembled = {.checksum = chunk.checksum(), .count = chunk.count()};
    }
    assembled.chunks[chunk.index()] = chunk.data();
    if (assembled.chunks.size() == assembled.count) {
        load_assembled(peer);
    }
}

void snapshot_transfer::load_assembled(const std::string& peer) {
    auto node = assemblies_.extract(peer);
    std::string state;
    for (const auto& [index, data] : node.mapped().chunks) {
        state += data;
    }
    if (XXH3_64bits(state.data(), state.size()) != node.mapped().checksum) {
        return;
    }
    if (replica_.load_snapshot(state)) {
        ++loaded_;
        assemblies_.clear();
    }
}

}  // namespace baobabrack
