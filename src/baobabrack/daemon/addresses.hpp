#ifndef BAOBABRACK_DAEMON_ADDRESSES_HPP
#define BAOBABRACK_DAEMON_ADDRESSES_HPP

#include <string>
#include <vector>

#include "baobabrack/transport/http_types.hpp"

namespace baobabrack {

/// @param text HOST:PORT from validated settings
http_endpoint to_endpoint(const std::string& text);

/// @param seeds HOST:PORT of other processes; only the host is used
/// @param port  ZeroMQ port of these processes
/// @return ZeroMQ endpoints of these processes; seeds that cannot be parsed are skipped
template <typename Seeds>
std::vector<std::string> to_zmq_endpoints(const Seeds& seeds, const std::string& port) {
    std::vector<std::string> endpoints;
    for (const auto& seed : seeds) {
        if (const auto endpoint = parse_endpoint(seed)) {
            endpoints.push_back("tcp://" + endpoint.value().host + ":" + port);
        }
    }
    return endpoints;
}

}  // namespace baobabrack

#endif
