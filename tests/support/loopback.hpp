#ifndef BAOBABRACK_TESTS_SUPPORT_LOOPBACK_HPP
#define BAOBABRACK_TESTS_SUPPORT_LOOPBACK_HPP

#include <functional>
#include <optional>
#include <string>

#include "baobabrack/transport/event_runtime.hpp"
#include "baobabrack/transport/http_client.hpp"
#include "baobabrack/transport/http_server.hpp"

namespace baobabrack::testing {

/// An http_handler that calls a function.
class function_handler : public http_handler {
public:
    explicit function_handler(std::function<void(http_request, http_responder)> on_request)
        : on_request_(std::move(on_request)) {}

    void handle(http_request request, http_responder responder) override {
        on_request_(std::move(request), std::move(responder));
    }

private:
    std::function<void(http_request, http_responder)> on_request_;
};

/// Runs an event loop until a condition holds or the timeout, which only guards against hanging
/// tests, expires.
///
/// @return whether the condition held
bool run_until(event_runtime& loop, const std::function<bool()>& condition);

/// A TCP server that sends a fixed reply, byte for byte, and then closes the connection or stays
/// silent.
class raw_server {
public:
    struct options {
        /// Sent on each connection after its first bytes are received.
        std::string reply;
        bool close_after_reply = true;
    };

    raw_server(event_runtime& loop, options opts);
    raw_server(const raw_server&) = delete;
    raw_server& operator=(const raw_server&) = delete;
    ~raw_server();

    http_endpoint endpoint() const;
    int accepted_connections() const { return accepted_connections_; }
    const std::string& received() const { return received_; }

private:
    struct connection;
    void accept(int descriptor);
    void read(connection& from);

    event_runtime& loop_;
    options options_;
    file_descriptor listener_;
    event_handle readable_;
    std::vector<std::unique_ptr<connection>> connections_;
    int accepted_connections_ = 0;
    std::string received_;
};

/// A TCP client that sends raw bytes and collects the received ones.
class raw_client {
public:
    raw_client(event_runtime& loop, std::uint16_t port);
    raw_client(const raw_client&) = delete;
    raw_client& operator=(const raw_client&) = delete;
    ~raw_client();

    void send(const std::string& bytes);
    void close();
    const std::string& received() const { return received_; }
    bool closed_by_peer() const { return closed_by_peer_; }

private:
    event_runtime& loop_;
    std::unique_ptr<file_descriptor> socket_;
    event_handle readable_;
    std::string received_;
    bool closed_by_peer_ = false;
};

}  // namespace baobabrack::testing

#endif
