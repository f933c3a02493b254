#ifndef BAOBABRACK_TRANSPORT_HTTP_SERVER_HPP
#define BAOBABRACK_TRANSPORT_HTTP_SERVER_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "baobabrack/runtime/scoped_timer.hpp"
#include "baobabrack/transport/client_limits.hpp"
#include "baobabrack/transport/event_handles.hpp"
#include "baobabrack/transport/http_server_connection.hpp"
#include "baobabrack/transport/http_types.hpp"

struct bufferevent;
struct evhttp_bound_socket;
struct evhttp_request;

namespace baobabrack {

class event_runtime;
class http_server;

/// Responds to one request, immediately or later, from any copy. Only the first response is sent.
/// If the last copy is destroyed without a response, status 500 is sent.
class http_responder {
public:
    /// Sends the response; does nothing if one was sent or the client has disconnected.
    void respond(http_response response) const;

    /// @return whether a response can still be sent
    bool is_open() const;

private:
    friend class http_server;
    struct exchange;
    explicit http_responder(std::shared_ptr<exchange> shared) : exchange_(std::move(shared)) {}

    std::shared_ptr<exchange> exchange_;
};

/// Handles the requests of an http_server.
class http_handler {
public:
    http_handler() = default;
    http_handler(const http_handler&) = delete;
    http_handler& operator=(const http_handler&) = delete;
    virtual ~http_handler() = default;

    /// Called from the event loop with each complete request.
    virtual void handle(http_request request, http_responder responder) = 0;
};

/// An HTTP/1.1 server based on evhttp. Malformed, oversized, slow or incomplete requests affect
/// only their own connection and never reach the handler.
class http_server {
public:
    struct options {
        /// IP address to listen on.
        std::string host = "127.0.0.1";
        /// 0 selects a free port.
        std::uint16_t port = 0;
        std::size_t max_body_bytes = 4UL << 20U;
        std::size_t max_header_bytes = 16UL << 10U;
        /// Longest time without data on a connection, between requests or within one.
        duration idle_timeout = std::chrono::seconds{60};
        /// Longest time from the first to the last byte of a request.
        duration receive_timeout = std::chrono::seconds{30};
        /// While this many connections are open, no more are accepted.
        std::size_t max_connections = 4096;
        /// What a connection may always hold while the process has few of them.
        connection_size connection;
        /// Memory of connections that must remain available to the other servers of the process.
        std::size_t reserved_connection_bytes = 0;
        /// Longest time from a response to its last byte leaving the process.
        duration send_timeout = std::chrono::seconds{30};
        /// Longest time without a byte of an incomplete request or an unread response.
        duration stall_timeout = std::chrono::seconds{30};
        /// Shared by the servers of a process; null: limits of this server alone.
        std::shared_ptr<client_limits> limits;
        /// Whether requests count towards `max_requests`. The answer to a readiness check must not
        /// depend on the client's other requests.
        bool counts_requests = true;
    };

    /// Counts of requests, closed slow connections and accept pauses.
    struct counts {
        std::uint64_t requests = 0;
        std::uint64_t receive_timeouts = 0;
        std::uint64_t accept_pauses = 0;
    };

    /// Binds the port. Throws std::runtime_error, whose message suggests a remedy, on failure.
    http_server(event_runtime& loop, options opts, http_handler& handler);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// @return the bound port
    std::uint16_t port() const { return port_; }

    /// Closes the listening socket. Open requests complete; each further response closes its
    /// connection.
    void stop_accepting();

    /// Closes the connections without an open or partly received request.
    void close_idle();

    /// @return whether no request is open or partly received and all responses have been sent
    bool is_idle() const;

    /// @return the number of requests without a response
    std::size_t open_requests() const { return exchanges_.size(); }

    /// @return the number of open connections as of the last sweep
    std::size_t open_connections() const { return connections_.size(); }

    const counts& totals() const { return counts_; }

    /// @return the limits that this server and others share
    const client_limits& limits() const { return *options_.limits; }

private:
    friend class http_responder;
    using connection = http_server_connection;

    static bufferevent* handle_accept(event_base* base, void* self);
    static void handle_request(evhttp_request* request, void* self);
    static void handle_close(evhttp_connection* closed, void* exchange);
    void bind();
    void set_accepting(bool enabled);
    bool is_full() const;
    double use() const;
    bool closes_after_response(const connection* from) const;
    void close_idle_for_others();
    void erase_closed_connections();
    void sweep();
    connection* find_connection(evhttp_request* request);

    event_runtime& loop_;
    options options_;
    http_handler& handler_;
    evhttp_handle http_;
    evhttp_bound_socket* bound_socket_ = nullptr;
    std::uint16_t port_ = 0;
    bool accepting_connections_ = true;
    bool accept_paused_ = false;
    std::unordered_map<bufferevent*, std::unique_ptr<connection>> connections_;
    std::unordered_set<http_responder::exchange*> exchanges_;
    scoped_timer sweep_timer_;
    counts counts_;
};

}  // namespace baobabrack

#endif
