#ifndef BAOBABRACK_TRANSPORT_CONNECTION_BUDGET_HPP
#define BAOBABRACK_TRANSPORT_CONNECTION_BUDGET_HPP

#include <cstddef>

namespace baobabrack {

/// What one connection may hold, in bytes.
struct connection_size {
    /// Received bytes that have not been processed.
    std::size_t read_ahead = 16UL << 10U;
    /// Requested size of each of the two kernel buffers.
    std::size_t socket_buffer = 32UL << 10U;

    /// @return the most memory of such a connection in the process and in the kernel, without the
    ///         bytes that are taken from `client_limits::bytes`
    std::size_t bytes() const;
};

/// Bytes of a response that need not be taken from `client_limits::bytes`.
constexpr std::size_t free_response_bytes = 4UL << 10U;

/// The smallest size of a connection: the largest request head fits into the read-ahead.
constexpr connection_size min_connection_size{.read_ahead = 16UL << 10U,
                                              .socket_buffer = 4UL << 10U};

/// Memory that the open connections of a process share. Connections get the smallest size once half
/// of the memory is used.
class connection_budget {
public:
    /// @param max_bytes memory of all connections, in the process and in the kernel
    explicit connection_budget(std::size_t max_bytes) : max_bytes_(max_bytes) {}

    /// Takes the memory of a new connection, also if none is left.
    ///
    /// @param full the size while there are few connections
    /// @return the size that the connection may have
    connection_size take(connection_size full);

    /// Returns what `take` granted.
    void release(const connection_size& size);

    /// @param reserved bytes that must remain available to others
    /// @return whether there is memory for another connection
    bool has_room(std::size_t reserved = 0) const;

    /// @return the fraction of the memory that is used, reserved bytes included
    double use(std::size_t reserved = 0) const;

    std::size_t used() const { return used_; }
    std::size_t max_bytes() const { return max_bytes_; }

private:
    std::size_t max_bytes_;
    std::size_t used_ = 0;
};

}  // namespace baobabrack

#endif
