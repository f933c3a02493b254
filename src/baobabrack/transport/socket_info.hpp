#ifndef BAOBABRACK_TRANSPORT_SOCKET_INFO_HPP
#define BAOBABRACK_TRANSPORT_SOCKET_INFO_HPP

#include <cstdint>
#include <string>

namespace baobabrack {

/// @return the IP address of the other end of a connection, or "unknown"
std::string peer_address(int descriptor);

/// @return the port that a socket is bound to, or 0
std::uint16_t local_port(int descriptor);

}  // namespace baobabrack

#endif
