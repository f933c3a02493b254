#ifndef BAOBABRACK_TRANSPORT_HTTP_CLIENT_CONNECTION_HPP
#define BAOBABRACK_TRANSPORT_HTTP_CLIENT_CONNECTION_HPP

#include <cstddef>
#include <functional>

#include "baobabrack/runtime/scoped_timer.hpp"
#include "baobabrack/transport/event_handles.hpp"
#include "baobabrack/transport/http_exchange.hpp"

struct evbuffer;
struct evbuffer_cb_info;
struct evhttp_request;

namespace baobabrack {

class event_runtime;

/// One connection of an http_client. Carries at most one exchange at a time.
class http_client_connection {
public:
    struct options {
        http_endpoint to;
        std::size_t max_body_bytes = 0;
        std::size_t max_header_bytes = 0;
        duration connect_timeout{};
        /// Time after which unacknowledged data closes the connection (TCP_USER_TIMEOUT).
        duration acknowledge_timeout{};
    };
    using callback = std::function<void(http_outcome)>;

    http_client_connection(event_runtime& loop, const options& opts);
    http_client_connection(const http_client_connection&) = delete;
    http_client_connection& operator=(const http_client_connection&) = delete;
    ~http_client_connection();

    /// Sends a request; no other exchange may be in progress. The callback runs exactly once, from
    /// the event loop.
    ///
    /// @param deadline time left for the whole exchange
    void start(const http_call& call, duration deadline, callback done);

    /// @return whether the connection can carry another request
    bool reusable() const { return !closed_ && !done_; }

    /// @return the time of the last response on the connection
    time_point last_response_time() const { return last_response_time_; }

private:
    static void handle_done(evhttp_request* request, void* self);
    static void handle_close(evhttp_connection* closed, void* self);
    static void handle_output(evbuffer* output, const evbuffer_cb_info* change, void* self);
    void check_deadline();
    void complete(http_outcome outcome);
    void set_socket_options();
    void close();

    event_runtime& loop_;
    options options_;
    evhttp_connection_handle connection_;
    scoped_timer timer_;
    callback done_;
    time_point deadline_{};
    time_point last_response_time_{};
    bool head_request_ = false;
    bool closed_ = false;
    bool bytes_sent_ = false;
    bool starting_ = false;
    bool failed_at_start_ = false;
};

}  // namespace baobabrack

#endif
