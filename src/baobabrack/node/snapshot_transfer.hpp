#ifndef BAOBABRACK_NODE_SNAPSHOT_TRANSFER_HPP
#define BAOBABRACK_NODE_SNAPSHOT_TRANSFER_HPP

#include <map>
#include <string>

#include "baobabrack/membership/peer_network.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"

namespace baobabrack {

class replica;
class roster;

/// Sends snapshots of the replicated state to starting entries, and fetches a snapshot from a peer
/// when the log does not provide the state.
class snapshot_transfer {
public:
    struct options {
        /// Time for the log to provide the state before a snapshot is requested from a peer.
        duration request_delay = std::chrono::seconds{2};
        duration retry_interval = std::chrono::seconds{2};
        std::size_t chunk_bytes = 256U << 10U;
    };

    snapshot_transfer(options opts, runtime& loop, replica& state, const roster& peers,
                      peer_network& network);

    /// Starts requesting snapshots, after a delay, until the replica has its state.
    void start();

    /// Sends the state to a peer in chunks, if this entry has one.
    void send_snapshot(const std::string& peer) const;

    /// Adds a chunk of a peer's snapshot and loads the snapshot when it is complete. Chunks of
    /// different snapshots are not combined.
    void handle_chunk(const std::string& peer, const wire::SnapshotReply& chunk);

    std::uint64_t loaded() const { return loaded_; }

private:
    struct assembly {
        std::uint64_t checksum = 0;
        std::uint32_t count = 0;
        std::map<std::uint32_t, std::string> chunks;
    };

    void request_snapshot();
    void load_assembled(const std::string& peer);

    options options_;
    runtime& loop_;
    replica& replica_;
    const roster& roster_;
    peer_network& network_;
    scoped_timer request_timer_;
    std::map<std::string, assembly> assemblies_;
    std::uint64_t loaded_ = 0;
};

}  // namespace baobabrack

#endif
