#include "baobabrack/daemon/client_settings.hpp"

#include <algorithm>

namespace baobabrack {

namespace {

// Left to the smaller servers of a process (readiness, announcements and metrics).
constexpr std::size_t reserved_connections = 144;
constexpr std::size_t min_connections = 8;

}  // namespace

std::shared_ptr<client_limits> create_client_limits(const wire::ClientSettings& settings,
                                                    metrics_registry& metrics) {
    return std::make_shared<client_limits>(
        client_limits::options{.max_bytes = settings.max_bytes(),
                               .max_requests = settings.max_requests(),
                               .max_connection_bytes = settings.max_connection_bytes(),
                               .max_connections = settings.max_connections(),
                               .address_share = settings.address_share_percent()},
        &metrics);
}

http_server::options with_client_settings(http_server::options options,
                                          const wire::ClientSettings& settings,
                                          std::shared_ptr<client_limits> limits) {
    const auto total = limits->max_connections();
    if (options.max_connections > reserved_connections) {
        options.max_connections = std::min(
            options.max_connections,
            std::max(total, reserved_connections + min_connections) - reserved_connections);
        options.reserved_connection_bytes = reserved_connections * min_connection_size.bytes();
    }
    options.connection = {.read_ahead = settings.read_ahead_bytes(),
                          .socket_buffer = settings.socket_buffer_bytes()};
    options.receive_timeout = std::chrono::milliseconds{settings.receive_timeout_ms()};
    options.send_timeout = std::chrono::milliseconds{settings.send_timeout_ms()};
    options.limits = std::move(limits);
    return options;
}

}  // namespace baobabrack
