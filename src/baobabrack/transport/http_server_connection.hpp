#ifndef BAOBABRACK_TRANSPORT_HTTP_SERVER_CONNECTION_HPP
#define BAOBABRACK_TRANSPORT_HTTP_SERVER_CONNECTION_HPP

#include <cstddef>
#include <string>

#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"
#include "baobabrack/transport/client_limits.hpp"
#include "baobabrack/transport/connection_policy.hpp"

struct bufferevent;
struct evbuffer;
struct evbuffer_cb_info;

namespace baobabrack {

/// Flow control of one connection that evhttp manages. While a response is not completely sent,
/// no more than the granted read-ahead is read. A request may exceed this amount only within the
/// byte budget of the process.
class http_server_connection {
public:
    enum class phase { idle, receiving, handling, sending };

    /// Keeps the bufferevent alive after evhttp has closed the connection, until `is_closed` is
    /// observed.
    ///
    /// @param full what the connection may hold while the process has few connections
    http_server_connection(runtime& loop, connection_size full, client_limits& limits,
                           bufferevent* stream);
    http_server_connection(const http_server_connection&) = delete;
    http_server_connection& operator=(const http_server_connection&) = delete;
    ~http_server_connection();

    /// @return whether evhttp has closed the connection
    bool is_closed() const;

    /// @return whether nothing is received, handled or sent
    bool is_idle() const { return phase_ == phase::idle && !is_sending(); }

    /// @return whether the client has sent anything
    bool is_used() const { return used_; }

    phase current_phase() const { return phase_; }
    time_point phase_began() const { return phase_began_; }

    /// @return the client's IP address
    const std::string& address();

    /// Called with each complete request.
    void begin_handling();

    /// Called before the response is passed to evhttp.
    ///
    /// @param body_bytes size of the response's body
    void begin_sending(std::size_t body_bytes);

    /// Makes evhttp free the connection, as if the client had closed it.
    void shut_down();

    /// @return the number of complete requests so far
    std::size_t requests() const { return requests_; }

    /// Closes the connection if the client is too slow or, with reading stopped, has disconnected.
    /// Called periodically; progress is noticed with the precision of the calls.
    ///
    /// @return whether the connection was closed because a receive time limit expired
    bool close_if_late(const connection_policy::time_limits& time_limits);

private:
    static void handle_input(evbuffer* input, const evbuffer_cb_info* change, void* self);
    static void handle_output(evbuffer* output, const evbuffer_cb_info* change, void* self);
    bool is_sending() const;
    bool peer_is_gone() const;
    std::size_t input_bytes() const;
    void enter(phase next);
    void set_read_limit(std::size_t bytes);
    bool needs_more() const;
    void check_grant(int turns);
    void finish_response();
    void enlarge_socket_buffers();
    bool hold(std::size_t bytes);
    void release();
    void limit(limit_cause cause);

    runtime& loop_;
    client_limits& limits_;
    connection_size size_;
    bufferevent* stream_;
    std::string address_;
    phase phase_ = phase::idle;
    time_point phase_began_;
    time_point progressed_at_;
    // Whether bytes were transferred since the last call of `close_if_late`.
    bool progressed_ = false;
    std::size_t requests_ = 0;
    // Received bytes of the current request, including chunks that evhttp has moved to the body.
    std::size_t received_ = 0;
    // Taken from the byte budget.
    std::size_t held_ = 0;
    scoped_timer grant_timer_;
    bool used_ = false;
    bool shut_down_ = false;
};

}  // namespace baobabrack

#endif
