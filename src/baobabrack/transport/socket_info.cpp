#include "baobabrack/transport/socket_info.hpp"

#include <arpa/inet.h>
// The C library's own definition of tcp_info lacks the counts of bytes.
#include <linux/tcp.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <cstddef>

namespace baobabrack {

// The socket API passes addresses of all families as sockaddr.
// NOLINTBEGIN(cppcoreguidelines-pro-type-reinterpret-cast)

std::string peer_address(int descriptor) {
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    if (getpeername(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        return "unknown";
    }
    std::array<char, INET6_ADDRSTRLEN> text{};
    const void* number =
        address.ss_family == AF_INET6
            ? static_cast<const void*>(&reinterpret_cast<const sockaddr_in6&>(address).sin6_addr)
            : &reinterpret_cast<const sockaddr_in&>(address).sin_addr;
    inet_ntop(address.ss_family, number, text.data(), text.size());
    return text.data();
}

std::uint16_t local_port(int descriptor) {
    sockaddr_storage address{};
    socklen_t size = sizeof address;
    if (getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) != 0) {
        return 0;
    }
    return ntohs(address.ss_family == AF_INET6
                     ? reinterpret_cast<const sockaddr_in6&>(address).sin6_port
                     : reinterpret_cast<const sockaddr_in&>(address).sin_port);
}

// NOLINTEND(cppcoreguidelines-pro-type-reinterpret-cast)

std::optional<std::uint64_t> received_bytes(int descriptor) {
    tcp_info info{};
    socklen_t size = sizeof info;
    if (getsockopt(descriptor, IPPROTO_TCP, TCP_INFO, &info, &size) != 0 ||
        size < offsetof(tcp_info, tcpi_bytes_received) + sizeof info.tcpi_bytes_received) {
        return std::nullopt;
    }
    return info.tcpi_bytes_received;
}

}  // namespace baobabrack
