#ifndef BAOBABRACK_TESTS_SUPPORT_BACKGROUND_HTTP_SERVER_HPP
#define BAOBABRACK_TESTS_SUPPORT_BACKGROUND_HTTP_SERVER_HPP

#include <atomic>
#include <functional>
#include <mutex>
#include <thread>
#include <vector>

#include "baobabrack/transport/http_server.hpp"

namespace baobabrack::testing {

/// An HTTP server with its own event loop and thread, for tests of blocking clients.
class background_http_server {
public:
    using response_function = std::function<http_response(const http_request&)>;

    explicit background_http_server(response_function respond);
    background_http_server(const background_http_server&) = delete;
    background_http_server& operator=(const background_http_server&) = delete;
    ~background_http_server();

    http_endpoint endpoint() const { return {.host = "127.0.0.1", .port = port_}; }

    /// @return all requests received so far
    std::vector<http_request> requests() const;

private:
    void serve();

    response_function respond_;
    mutable std::mutex mutex_;
    std::vector<http_request> requests_;
    std::atomic<std::uint16_t> port_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

}  // namespace baobabrack::testing

#endif
