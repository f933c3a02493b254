#ifndef BAOBABRACK_TRANSPORT_SOCKET_INFO_HPP
#define BAOBABRACK_TRANSPORT_SOCKET_INFO_HPP

#include <cstdint>
#include <optional>
#include <string>

namespace baobabrack {

/// @return the IP address of the other end of a connection, or "unknown"
std::string peer_address(int descriptor);

/// @return the port that a socket is bound to, or 0
std::uint16_t local_port(int descriptor);

/// @return all bytes received on a TCP connection; empty if the kernel does not tell
std::optional<std::uint64_t> received_bytes(int descriptor);

}  // namespace baobabrack

#endif
