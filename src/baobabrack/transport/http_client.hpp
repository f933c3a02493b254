#ifndef BAOBABRACK_TRANSPORT_HTTP_CLIENT_HPP
#define BAOBABRACK_TRANSPORT_HTTP_CLIENT_HPP

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <unordered_map>
#include <vector>

#include "baobabrack/runtime/scoped_timer.hpp"
#include "baobabrack/transport/http_exchange.hpp"

namespace baobabrack {

class event_runtime;
class http_client_connection;

/// Sends HTTP requests over bounded connection pools, one pool per endpoint. A request is sent
/// once; retries are up to the caller.
class http_client {
public:
    struct options {
        std::size_t max_connections_per_host = 64;
        /// Maximum number of calls waiting for a connection to one endpoint; further calls complete
        /// as `not_sent`.
        std::size_t max_waiting_per_host = 1024;
        std::size_t max_body_bytes = 16UL << 20U;
        std::size_t max_header_bytes = 64UL << 10U;
        duration connect_timeout = std::chrono::seconds{2};
        /// Time after which unacknowledged data closes a connection (TCP_USER_TIMEOUT).
        duration acknowledge_timeout = std::chrono::seconds{5};
        /// Maximum time since the last response for reusing an idle connection.
        duration idle_limit = std::chrono::seconds{10};
        /// As `idle_limit`, for requests that are not idempotent; from it on they use a new
        /// connection.
        duration non_idempotent_idle_limit = std::chrono::milliseconds{100};
        /// Whether endpoints may have host names, whose resolution blocks the event loop.
        bool resolve_names = false;
    };
    using callback = std::function<void(http_outcome)>;

    http_client(event_runtime& loop, options opts);
    http_client(const http_client&) = delete;
    http_client& operator=(const http_client&) = delete;

    /// Drops all calls without running their callbacks. Must not be called from a callback.
    ~http_client();

    /// Sends a request. The callback runs exactly once, later, from the event loop.
    ///
    /// @return the id to pass to `abandon`
    http_call_id send(http_call call, callback done);

    /// Cancels a call: drops its callback and closes its connection.
    void abandon(http_call_id call);

    /// @return the number of open connections to an endpoint
    std::size_t connections(const http_endpoint& to) const;

private:
    struct waiting_call {
        http_call_id id;
        http_call call;
        time_point deadline;
        callback done;
    };
    struct busy_connection {
        http_endpoint to;
        std::unique_ptr<http_client_connection> connection;
        callback done;
    };
    struct connection_pool {
        std::vector<std::unique_ptr<http_client_connection>> idle;
        std::deque<waiting_call> waiting;
        std::size_t busy = 0;
    };

    void complete_unsent(http_call_id id, callback done);
    void start_waiting_calls(const http_endpoint& to);
    void start_call(connection_pool& from, waiting_call next);
    std::unique_ptr<http_client_connection> acquire_idle_connection(connection_pool& from,
                                                                    bool idempotent);
    std::unique_ptr<http_client_connection> open_connection(const http_endpoint& to);
    void complete(http_call_id id, http_outcome outcome);
    void release_connection(const http_endpoint& to,
                            std::unique_ptr<http_client_connection> connection);
    void destroy_later(std::unique_ptr<http_client_connection> connection);
    void sweep();

    event_runtime& loop_;
    options options_;
    std::uint64_t next_call_ = 1;
    std::map<http_endpoint, connection_pool> pools_;
    std::unordered_map<http_call_id, busy_connection> busy_connections_;
    std::unordered_map<http_call_id, callback> unsent_calls_;
    std::vector<std::unique_ptr<http_client_connection>> closing_connections_;
    scoped_timer destroy_timer_;
    scoped_timer sweep_timer_;
    scoped_timer unsent_timer_;
};

}  // namespace baobabrack

#endif
