#ifndef BAOBABRACK_TRANSPORT_CONNECTION_POLICY_HPP
#define BAOBABRACK_TRANSPORT_CONNECTION_POLICY_HPP

#include <cstddef>
#include <vector>

#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Decides which connections of a server give way to others, without access to sockets.
namespace connection_policy {

/// Longest times of one connection.
struct time_limits {
    /// From the first to the last byte of a request.
    duration receive = std::chrono::seconds{30};
    /// From a response to its last byte leaving the process.
    duration send = std::chrono::seconds{30};
    /// Without a byte of an incomplete request or an unread response.
    duration stall = std::chrono::seconds{30};
};

/// Shortens the limits the fuller the server is, beginning at half of its capacity.
///
/// @param configured the limits of a server with few connections
/// @param use        fraction of the connections or of their memory that is used, whichever is
///                   larger
time_limits scale(const time_limits& configured, double use);

/// A connection without a request.
struct idle_connection {
    /// Position in the caller's list.
    std::size_t index = 0;
    /// Number of open connections of the client's address.
    std::size_t address_connections = 0;
    /// Time since its last response, or since it was opened.
    duration idle_time{};
    /// Whether the client has sent anything.
    bool used = false;
};

/// Chooses connections to close for others that wait. All that have sent nothing for 200 ms are
/// chosen, as more of them can wait in the kernel's queue ahead of an ordinary client. Otherwise up
/// to an eighth of all connections and one more are chosen, among those idle for a second: first
/// those of the address with the most connections, and of these the longest idle.
///
/// @param idle  connections without a request
/// @param total the number of all open connections
/// @return the indices of the chosen connections
std::vector<std::size_t> choose_idle(std::vector<idle_connection> idle, std::size_t total);

}  // namespace connection_policy

}  // namespace baobabrack

#endif
