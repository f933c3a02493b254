#include "baobabrack/transport/http_client_connection.hpp"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/http.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <utility>

#include "baobabrack/transport/event_runtime.hpp"
#include "baobabrack/transport/http_codec.hpp"

namespace baobabrack {

namespace {

// This class ends each exchange by its own timers; the timeout of evhttp must not fire earlier.
constexpr duration evhttp_timeout = std::chrono::hours{24};

evhttp_cmd_type to_method(const std::string& name) {
    if (name == "GET") {
        return EVHTTP_REQ_GET;
    }
    if (name == "PUT") {
        return EVHTTP_REQ_PUT;
    }
    if (name == "DELETE") {
        return EVHTTP_REQ_DELETE;
    }
    if (name == "HEAD") {
        return EVHTTP_REQ_HEAD;
    }
    return EVHTTP_REQ_POST;
}

bool has_no_body(int status) {
    constexpr int no_content = 204;
    constexpr int not_modified = 304;
    return status == no_content || status == not_modified;
}

// A body that is delimited only by the close of the connection cannot be distinguished from a
// truncated one.
bool is_complete(const http_response& response, bool head_request) {
    if (head_request || has_no_body(response.status)) {
        return true;
    }
    if (!response.header("Transfer-Encoding").empty()) {
        return true;
    }
    const auto length = response.header("Content-Length");
    return !length.empty() &&
           parse_number(length, response.body.size() + 1) == response.body.size();
}

}  // namespace

http_client_connection::http_client_connection(event_runtime& loop, const options& opts)
    : loop_(loop), options_(opts), timer_(loop) {
    connection_.reset(
        evhttp_connection_base_new(loop.base(), nullptr, opts.to.host.c_str(), opts.to.port));
    auto* raw = connection_.get();
    const auto timeout = to_timeval(evhttp_timeout);
    evhttp_connection_set_timeout_tv(raw, &timeout);
    evhttp_connection_set_retries(raw, 0);
    evhttp_connection_set_max_body_size(raw, static_cast<ev_ssize_t>(opts.max_body_bytes));
    evhttp_connection_set_max_headers_size(raw, static_cast<ev_ssize_t>(opts.max_header_bytes));
    evhttp_connection_set_closecb(raw, &handle_close, this);
    auto* output = bufferevent_get_output(evhttp_connection_get_bufferevent(raw));
    evbuffer_add_cb(output, &handle_output, this);
}

http_client_connection::~http_client_connection() {
    close();
}

// Must not be called from an evhttp callback of this connection.
void http_client_connection::close() {
    if (!connection_) {
        return;
    }
    closed_ = true;
    evhttp_connection_set_closecb(connection_.get(), nullptr, nullptr);
    auto* output = bufferevent_get_output(evhttp_connection_get_bufferevent(connection_.get()));
    evbuffer_remove_cb(output, &handle_output, this);
    connection_.reset();
}

void http_client_connection::start(const http_call& call, duration deadline, callback done) {
    done_ = std::move(done);
    bytes_sent_ = false;
    head_request_ = call.method == "HEAD";
    deadline_ = loop_.now() + deadline;
    timer_.arm(std::min(deadline, options_.connect_timeout), [this] { check_deadline(); });

    auto* request = evhttp_request_new(&handle_done, this);
    auto* headers = evhttp_request_get_output_headers(request);
    const auto host = options_.to.host + ":" + std::to_string(options_.to.port);
    evhttp_add_header(headers, "Host", host.c_str());
    for (const auto& header : call.headers) {
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    }
    evbuffer_add(evhttp_request_get_output_buffer(request), call.body.data(), call.body.size());
    starting_ = true;
    failed_at_start_ = false;
    const int status =
        evhttp_make_request(connection_.get(), request, to_method(call.method), call.path.c_str());
    starting_ = false;
    if (status != 0 || failed_at_start_) {
        closed_ = true;
        timer_.arm(duration::zero(),
                   [this] { complete({.completion = http_completion::not_sent, .response = {}}); });
        return;
    }
    set_socket_options();
}

void http_client_connection::set_socket_options() {
    const auto descriptor = bufferevent_getfd(evhttp_connection_get_bufferevent(connection_.get()));
    if (descriptor < 0) {
        return;
    }
    const int enabled = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof enabled);
    const auto limit =
        std::chrono::duration_cast<std::chrono::milliseconds>(options_.acknowledge_timeout);
    const auto limit_ms = static_cast<unsigned>(limit.count());
    setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT, &limit_ms, sizeof limit_ms);
}

void http_client_connection::check_deadline() {
    const auto left = deadline_ - loop_.now();
    if (bytes_sent_ && left > duration::zero()) {
        timer_.arm(left, [this] { check_deadline(); });
        return;
    }
    // A request that was not sent by the deadline must not be sent later.
    close();
    complete({.completion = bytes_sent_ ? http_completion::timed_out : http_completion::not_sent,
              .response = {}});
}

void http_client_connection::complete(http_outcome outcome) {
    timer_.cancel();
    const auto done = std::exchange(done_, nullptr);
    if (done) {
        done(std::move(outcome));
    }
}

void http_client_connection::handle_done(evhttp_request* request, void* self) {
    auto& connection = *static_cast<http_client_connection*>(self);
    if (connection.starting_) {
        connection.failed_at_start_ = true;
        return;
    }
    if (request == nullptr || evhttp_request_get_response_code(request) == 0) {
        connection.closed_ = true;
        connection.complete({.completion = connection.bytes_sent_ ? http_completion::broken
                                                                  : http_completion::not_sent,
                             .response = {}});
        return;
    }
    http_response response;
    response.status = evhttp_request_get_response_code(request);
    response.headers = read_headers(*evhttp_request_get_input_headers(request));
    response.body = read_body(request);
    if (!is_complete(response, connection.head_request_)) {
        connection.closed_ = true;
        connection.complete({.completion = http_completion::broken, .response = {}});
        return;
    }
    connection.last_response_time_ = connection.loop_.now();
    connection.complete({.completion = http_completion::answered, .response = std::move(response)});
}

void http_client_connection::handle_close(evhttp_connection* /*closed*/, void* self) {
    static_cast<http_client_connection*>(self)->closed_ = true;
}

void http_client_connection::handle_output(evbuffer* /*output*/, const evbuffer_cb_info* change,
                                           void* self) {
    if (change->n_deleted > 0) {
        static_cast<http_client_connection*>(self)->bytes_sent_ = true;
    }
}

}  // namespace baobabrack
