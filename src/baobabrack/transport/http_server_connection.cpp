#include "baobabrack/transport/http_server_connection.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "baobabrack/transport/socket_info.hpp"

namespace baobabrack {

namespace {

// Larger steps hold more than a body needs; smaller ones only cost calls.
constexpr std::size_t grant_bytes = 64UL << 10U;
// evhttp parses what it has received in the current or the next turn of the loop. A request that is
// still incomplete after that needs more than it may hold.
constexpr int parse_turns = 2;

}  // namespace

http_server_connection::http_server_connection(runtime& loop, connection_size full,
                                               client_limits& limits, bufferevent* stream)
    : loop_(loop),
      limits_(limits),
      size_(limits.connection_bytes().take(full)),
      stream_(stream),
      phase_began_(loop.now()),
      progressed_at_(phase_began_),
      grant_timer_(loop) {
    bufferevent_incref(stream_);
    evbuffer_add_cb(bufferevent_get_input(stream_), &handle_input, this);
    evbuffer_add_cb(bufferevent_get_output(stream_), &handle_output, this);
    set_read_limit(size_.read_ahead);
    limits_.add_connection();
}

http_server_connection::~http_server_connection() {
    release();
    limits_.remove_connection();
    limits_.connection_bytes().release(size_);
    // The bufferevent can outlive this object.
    evbuffer_remove_cb(bufferevent_get_input(stream_), &handle_input, this);
    evbuffer_remove_cb(bufferevent_get_output(stream_), &handle_output, this);
    bufferevent_decref(stream_);
}

bool http_server_connection::is_closed() const {
    void* owner = nullptr;
    bufferevent_getcb(stream_, nullptr, nullptr, nullptr, &owner);
    return owner == nullptr;
}

bool http_server_connection::is_sending() const {
    return evbuffer_get_length(bufferevent_get_output(stream_)) > 0;
}

std::size_t http_server_connection::input_bytes() const {
    return evbuffer_get_length(bufferevent_get_input(stream_));
}

const std::string& http_server_connection::address() {
    if (address_.empty()) {
        address_ = peer_address(bufferevent_getfd(stream_));
    }
    return address_;
}

void http_server_connection::enter(phase next) {
    phase_ = next;
    phase_began_ = loop_.now();
}

void http_server_connection::set_read_limit(std::size_t bytes) {
    if (!shut_down_) {
        bufferevent_setwatermark(stream_, EV_READ, 0, bytes);
    }
}

void http_server_connection::begin_handling() {
    ++requests_;
    enter(phase::handling);
    set_read_limit(size_.read_ahead);
}

void http_server_connection::begin_sending(std::size_t body_bytes) {
    enter(phase::sending);
    if (body_bytes > free_response_bytes && !hold(body_bytes)) {
        limit(limit_cause::bytes);
    }
}

void http_server_connection::shut_down() {
    if (shut_down_) {
        return;
    }
    // evhttp frees the connection when it reads the end of file, which a read limit would delay.
    set_read_limit(0);
    shut_down_ = true;
    shutdown(bufferevent_getfd(stream_), SHUT_RDWR);
}

void http_server_connection::limit(limit_cause cause) {
    if (!shut_down_) {
        limits_.record(cause, address(), loop_.now());
        shut_down();
    }
}

// Reading stops at the limit, and then evhttp does not see that the client has disconnected.
bool http_server_connection::peer_is_gone() const {
    pollfd state{.fd = bufferevent_getfd(stream_), .events = POLLRDHUP, .revents = 0};
    return poll(&state, 1, 0) > 0;
}

bool http_server_connection::close_if_late(const connection_policy::time_limits& time_limits) {
    const auto now = loop_.now();
    if (std::exchange(progressed_, false)) {
        progressed_at_ = now;
    }
    const auto age = now - phase_began_;
    const bool is_stalled = now - std::max(progressed_at_, phase_began_) > time_limits.stall;
    if (phase_ == phase::receiving && (is_stalled || age > time_limits.receive)) {
        limit(limit_cause::slow_request);
        return true;
    }
    if (phase_ == phase::sending && (is_stalled || age > time_limits.send)) {
        limit(limit_cause::unread_response);
    } else if (phase_ == phase::sending && input_bytes() >= size_.read_ahead && peer_is_gone()) {
        shut_down();
    }
    return false;
}

void http_server_connection::handle_input(evbuffer* /*input*/, const evbuffer_cb_info* change,
                                          void* self) {
    auto& from = *static_cast<http_server_connection*>(self);
    if (change->n_added == 0) {
        return;
    }
    if (!std::exchange(from.used_, true)) {
        from.enlarge_socket_buffers();
    }
    from.progressed_ = true;
    if (from.phase_ == phase::idle) {
        from.received_ = 0;
        from.enter(phase::receiving);
    }
    if (from.phase_ == phase::receiving) {
        from.received_ += change->n_added;
        from.check_grant(parse_turns);
    }
}

bool http_server_connection::needs_more() const {
    const auto limit = size_.read_ahead + held_;
    return phase_ == phase::receiving && !shut_down_ &&
           (input_bytes() >= limit || received_ >= limit);
}

// evhttp needs a complete body in its buffers, so the read limit rises with the request.
void http_server_connection::check_grant(int turns) {
    if (!needs_more()) {
        return;
    }
    if (turns > 0) {
        grant_timer_.arm(duration::zero(), [this, turns] { check_grant(turns - 1); });
        return;
    }
    if (!hold(grant_bytes)) {
        limit(limit_cause::bytes);
        return;
    }
    set_read_limit(size_.read_ahead + held_);
}

void http_server_connection::handle_output(evbuffer* output, const evbuffer_cb_info* change,
                                           void* self) {
    auto& from = *static_cast<http_server_connection*>(self);
    from.progressed_ = from.progressed_ || change->n_deleted > 0;
    if (change->n_deleted > 0 && evbuffer_get_length(output) == 0 &&
        from.phase_ == phase::sending) {
        from.finish_response();
    }
}

void http_server_connection::finish_response() {
    release();
    received_ = 0;
    enter(input_bytes() > 0 ? phase::receiving : phase::idle);
    check_grant(parse_turns);
}

// Accepted connections have the smallest buffers, as the kernel may hold many of them in its queue.
// The window stays at the size of the first buffer unless its clamp is raised too.
void http_server_connection::enlarge_socket_buffers() {
    if (size_.socket_buffer <= min_connection_size.socket_buffer) {
        return;
    }
    const auto descriptor = bufferevent_getfd(stream_);
    const int bytes = static_cast<int>(size_.socket_buffer);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &bytes, sizeof bytes);
    setsockopt(descriptor, IPPROTO_TCP, TCP_WINDOW_CLAMP, &bytes, sizeof bytes);
}

bool http_server_connection::hold(std::size_t bytes) {
    if (!limits_.bytes().take(address(), bytes)) {
        return false;
    }
    held_ += bytes;
    return true;
}

void http_server_connection::release() {
    if (held_ > 0) {
        limits_.bytes().release(address_, held_);
        held_ = 0;
    }
}

}  // namespace baobabrack
