#ifndef BAOBABRACK_TRANSPORT_PEER_CONNECTIONS_HPP
#define BAOBABRACK_TRANSPORT_PEER_CONNECTIONS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_set>
#include <vector>

#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Decides which accepted connections of a peer_network are closed, without access to sockets. A
/// connection is proved if its address is that of an expected peer, or by a valid message. Only
/// others are closed for new ones. Proved connections may be silent.
class peer_connections {
public:
    struct options {
        std::size_t max_connections = 1000;
        /// Connections that are not proved, each of which may hold an incomplete message.
        std::size_t max_unproved = 128;
        /// A connection is not closed for another sooner. A peer sends its first message in time.
        duration proof_time = std::chrono::seconds{1};
        /// After this time without a valid message, received bytes are limited.
        duration silence = std::chrono::seconds{2};
        /// Received bytes without a valid message among them, of all connections together.
        std::uint64_t max_silent_bytes = 16UL << 20U;
    };

    explicit peer_connections(options opts) : options_(opts) {}

    /// Makes connections from an address count as proved. At most 8,192 addresses are kept.
    void expect(const std::string& address);

    /// Registers an accepted connection.
    ///
    /// @param address IP address of the client
    /// @return the connection to close for it, which may be the new one; empty if there is room
    std::optional<int> add(int descriptor, const std::string& address, time_point now);

    /// Forgets a connection that was closed.
    void remove(int descriptor);

    /// Called for each valid message.
    void record_message(int descriptor, time_point now);

    /// All bytes that were received on a connection.
    struct received_bytes {
        int descriptor = -1;
        std::uint64_t bytes = 0;
    };

    /// @return connections whose received bytes `choose_over_limit` needs
    std::vector<int> silent(time_point now) const;

    /// @param received the bytes of the connections that `silent` returned
    /// @return connections to close so that the others are within the limit, those with the most
    ///         bytes since their last message first
    std::vector<int> choose_over_limit(const std::vector<received_bytes>& received);

    std::size_t size() const { return connections_.size(); }

private:
    struct connection {
        time_point accepted;
        time_point last_message;
        bool proved = false;
        // Received bytes at the first check since the last message.
        std::optional<std::uint64_t> first_received;
    };

    std::optional<int> find_replaceable(time_point now) const;
    std::size_t count_unproved() const;

    options options_;
    std::map<int, connection> connections_;
    std::unordered_set<std::string> expected_;
};

}  // namespace baobabrack

#endif
