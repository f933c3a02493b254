#ifndef BAOBABRACK_TRANSPORT_HTTP_SERVER_HPP
#define BAOBABRACK_TRANSPORT_HTTP_SERVER_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "baobabrack/runtime/scoped_timer.hpp"
#include "baobabrack/transport/event_handles.hpp"
#include "baobabrack/transport/http_types.hpp"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_bound_socket;
struct evhttp_request;

namespace baobabrack {

class event_runtime;
class http_server;

/// Answers one request, at once or later, from any copy. Only the first answer counts. A request
/// whose last copy goes without an answer is answered with status 500.
class http_responder {
public:
    /// Sends the answer; does nothing if there was one or the caller has gone.
    void respond(http_response response) const;

    /// @return whether an answer can still be sent
    bool is_open() const;

private:
    friend class http_server;
    struct exchange;
    explicit http_responder(std::shared_ptr<exchange> shared) : exchange_(std::move(shared)) {}

    std::shared_ptr<exchange> exchange_;
};

/// Takes the requests of an http_server.
class http_handler {
public:
    http_handler() = default;
    http_handler(const http_handler&) = delete;
    http_handler& operator=(const http_handler&) = delete;
    virtual ~http_handler() = default;

    /// Called with each whole request, from the loop.
    virtual void handle(http_request request, http_responder responder) = 0;
};

/// An HTTP/1.1 server on evhttp. What is malformed, oversized, slow or half-sent costs only its
/// sender and never reaches the handler.
class http_server {
public:
    struct options {
        /// IP number to listen on.
        std::string host = "127.0.0.1";
        /// Zero takes a free port.
        std::uint16_t port = 0;
        std::size_t max_body_bytes = 4UL << 20U;
        std::size_t max_header_bytes = 16UL << 10U;
        /// Longest silence on a connection between two requests or inside one.
        duration idle_timeout = std::chrono::seconds{60};
        /// Longest time from a request's first byte to its last.
        duration receive_timeout = std::chrono::seconds{30};
        /// At this many connections no more are accepted until one closes.
        std::size_t max_connections = 4096;
    };

    /// What the server has refused or cut, for metrics.
    struct counts {
        std::uint64_t requests = 0;
        std::uint64_t receive_timeouts = 0;
        std::uint64_t accept_pauses = 0;
    };

    /// Binds the port; throws std::runtime_error, whose text names the remedy, if it cannot.
    http_server(event_runtime& loop, options opts, http_handler& handler);
    http_server(const http_server&) = delete;
    http_server& operator=(const http_server&) = delete;
    ~http_server();

    /// @return the port that is bound
    std::uint16_t port() const { return port_; }

    /// Closes the port. Open requests finish; each answer from now on closes its connection.
    void stop_accepting();

    /// Closes the connections that have no request open or coming in.
    void close_idle();

    /// @return whether no request is open or coming in and every answer has left
    bool is_idle() const;

    /// @return requests that wait for an answer
    std::size_t open_requests() const { return exchanges_.size(); }

    /// @return connections that are open, as of the last sweep
    std::size_t open_connections() const { return connections_.size(); }

    const counts& totals() const { return counts_; }

private:
    friend class http_responder;
    struct connection;

    static bufferevent* handle_accept(event_base* base, void* self);
    static void handle_request(evhttp_request* request, void* self);
    static void handle_close(evhttp_connection* closed, void* exchange);
    static void handle_input(evbuffer* input, const evbuffer_cb_info* change, void* one);
    void bind();
    void set_accepting(bool enabled);
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
