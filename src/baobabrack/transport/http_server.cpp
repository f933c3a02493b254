#include "baobabrack/transport/http_server.hpp"

#include <event2/bufferevent.h>
#include <event2/http.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <stdexcept>
#include <vector>

#include "baobabrack/transport/event_runtime.hpp"
#include "baobabrack/transport/http_codec.hpp"
#include "baobabrack/transport/socket_info.hpp"

namespace baobabrack {

namespace {

constexpr duration sweep_interval = std::chrono::milliseconds{200};
constexpr int status_internal_error = 500;
constexpr int status_service_unavailable = 503;
// While connections wait to be accepted.
constexpr duration full_sweep_interval = std::chrono::milliseconds{50};
// The drain closes connections whose response has not been read for this long.
constexpr duration drain_send_timeout = std::chrono::seconds{1};
// While connections wait to be accepted, others are closed after this many requests.
constexpr std::size_t max_requests_when_full = 16;

// Accepted connections inherit these options on Linux.
void set_listen_options(int descriptor) {
    const int on = 1;
    const int buffer_bytes = static_cast<int>(min_connection_size.socket_buffer);
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    setsockopt(descriptor, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof on);
    // The kernel otherwise enlarges them up to several MiB, which count as memory of the process.
    setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &buffer_bytes, sizeof buffer_bytes);
    setsockopt(descriptor, SOL_SOCKET, SO_SNDBUF, &buffer_bytes, sizeof buffer_bytes);
}

// Without descriptors, accepting would fail again at once. A sweep resumes it.
void pause_accepting(evconnlistener* listener, void* /*http*/) {
    evconnlistener_disable(listener);
}

}  // namespace

struct http_responder::exchange {
    exchange(http_server& owner, evhttp_request* raw, std::string from)
        : server(&owner), request(raw), address(std::move(from)) {}
    exchange(const exchange&) = delete;
    exchange& operator=(const exchange&) = delete;
    ~exchange() { respond({.status = status_internal_error, .headers = {}, .body = {}}); }

    void respond(const http_response& response);

    // Called when the client has disconnected or the server is destroyed.
    void detach() {
        request = nullptr;
        server->exchanges_.erase(this);
        server->options_.limits->requests().release(address, 1);
    }

    http_server* server;
    evhttp_request* request;
    // Holds one request of the budget.
    std::string address;
};

void http_responder::exchange::respond(const http_response& response) {
    if (request == nullptr) {
        return;
    }
    auto* raw = request;
    auto* from = server->find_connection(raw);
    const bool close_connection = server->closes_after_response(from);
    if (from != nullptr) {
        from->begin_sending(response.body.size());
    }
    detach();
    evhttp_connection_set_closecb(evhttp_request_get_connection(raw), nullptr, nullptr);
    send_response(raw, response, close_connection);
}

void http_responder::respond(http_response response) const {
    exchange_->respond(response);
}

bool http_responder::is_open() const {
    return exchange_->request != nullptr;
}

http_server::http_server(event_runtime& loop, options opts, http_handler& handler)
    : loop_(loop),
      options_(std::move(opts)),
      handler_(handler),
      http_(evhttp_new(loop.base())),
      sweep_timer_(loop) {
    if (options_.limits == nullptr) {
        options_.limits = std::make_shared<client_limits>(client_limits::options{});
    }
    const auto timeout = to_timeval(options_.idle_timeout);
    evhttp_set_timeout_tv(http_.get(), &timeout);
    evhttp_set_max_body_size(http_.get(), static_cast<ev_ssize_t>(options_.max_body_bytes));
    evhttp_set_max_headers_size(http_.get(), static_cast<ev_ssize_t>(options_.max_header_bytes));
    evhttp_set_default_content_type(http_.get(), nullptr);
    evhttp_set_flags(http_.get(), EVHTTP_SERVER_LINGERING_CLOSE);
    evhttp_set_allowed_methods(http_.get(), EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                                EVHTTP_REQ_DELETE | EVHTTP_REQ_HEAD);
    evhttp_set_bevcb(http_.get(), &handle_accept, this);
    evhttp_set_gencb(http_.get(), &handle_request, this);
    bind();
    sweep_timer_.arm(sweep_interval, [this] { sweep(); });
}

http_server::~http_server() {
    while (!exchanges_.empty()) {
        (*exchanges_.begin())->detach();
    }
    http_.reset();
}

void http_server::bind() {
    bound_socket_ =
        evhttp_bind_socket_with_handle(http_.get(), options_.host.c_str(), options_.port);
    if (bound_socket_ == nullptr) {
        throw std::runtime_error("cannot listen on " + options_.host + ":" +
                                 std::to_string(options_.port) +
                                 " (choose an address of this host and a free port)");
    }
    const auto descriptor = evhttp_bound_socket_get_fd(bound_socket_);
    set_listen_options(descriptor);
    port_ = local_port(descriptor);
    evconnlistener_set_error_cb(evhttp_bound_socket_get_listener(bound_socket_), &pause_accepting);
}

void http_server::stop_accepting() {
    if (!accepting_connections_) {
        return;
    }
    accepting_connections_ = false;
    evhttp_del_accept_socket(http_.get(), bound_socket_);
    bound_socket_ = nullptr;
}

void http_server::close_idle() {
    const auto oldest = loop_.now() - drain_send_timeout;
    for (const auto& [stream, client] : connections_) {
        const bool is_unread =
            client->current_phase() == connection::phase::sending && client->phase_began() < oldest;
        if (client->is_idle() || is_unread) {
            client->shut_down();
        }
    }
}

bool http_server::is_idle() const {
    return exchanges_.empty() &&
           std::all_of(connections_.begin(), connections_.end(), [](const auto& entry) {
               return entry.second->is_closed() || entry.second->is_idle();
           });
}

void http_server::set_accepting(bool enabled) {
    if (bound_socket_ == nullptr) {
        return;
    }
    auto* listener = evhttp_bound_socket_get_listener(bound_socket_);
    if (enabled) {
        evconnlistener_enable(listener);
    } else if (!accept_paused_) {
        evconnlistener_disable(listener);
        ++counts_.accept_pauses;
    }
    accept_paused_ = !enabled;
}

void http_server::erase_closed_connections() {
    std::erase_if(connections_, [](const auto& entry) { return entry.second->is_closed(); });
}

bool http_server::is_full() const {
    return connections_.size() >= options_.max_connections ||
           !options_.limits->accepts_connection(options_.reserved_connection_bytes);
}

double http_server::use() const {
    const auto own = static_cast<double>(connections_.size()) /
                     static_cast<double>(std::max<std::size_t>(options_.max_connections, 1));
    return std::max(own, options_.limits->use(options_.reserved_connection_bytes));
}

// Clients that send request after request would otherwise keep their place while others wait.
bool http_server::closes_after_response(const connection* from) const {
    return !accepting_connections_ ||
           (accept_paused_ && from != nullptr && from->requests() >= max_requests_when_full);
}

void http_server::sweep() {
    erase_closed_connections();
    const auto time_limits = connection_policy::scale({.receive = options_.receive_timeout,
                                                       .send = options_.send_timeout,
                                                       .stall = options_.stall_timeout},
                                                      use());
    for (const auto& [stream, client] : connections_) {
        if (client->close_if_late(time_limits)) {
            ++counts_.receive_timeouts;
        }
    }
    if (is_full()) {
        close_idle_for_others();
    }
    set_accepting(!is_full());
    sweep_timer_.arm(accept_paused_ ? full_sweep_interval : sweep_interval, [this] { sweep(); });
}

void http_server::close_idle_for_others() {
    std::unordered_map<std::string, std::size_t> by_address;
    std::vector<connection*> clients;
    for (const auto& [stream, client] : connections_) {
        ++by_address[client->address()];
        clients.push_back(client.get());
    }
    std::vector<connection_policy::idle_connection> idle;
    for (std::size_t i = 0; i < clients.size(); ++i) {
        auto& client = *clients[i];
        if (client.is_idle()) {
            idle.push_back({.index = i,
                            .address_connections = by_address[client.address()],
                            .idle_time = loop_.now() - client.phase_began(),
                            .used = client.is_used()});
        }
    }
    for (const auto index : connection_policy::choose_idle(std::move(idle), clients.size())) {
        auto& client = *clients[index];
        options_.limits->record(limit_cause::connections, client.address(), loop_.now());
        client.shut_down();
    }
}

http_server::connection* http_server::find_connection(evhttp_request* request) {
    auto* stream = evhttp_connection_get_bufferevent(evhttp_request_get_connection(request));
    const auto found = connections_.find(stream);
    return found == connections_.end() ? nullptr : found->second.get();
}

bufferevent* http_server::handle_accept(event_base* base, void* self) {
    auto& server = *static_cast<http_server*>(self);
    // Without this option evhttp closes the descriptor while events are still registered on it.
    auto* stream = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
    if (stream == nullptr) {
        return nullptr;
    }
    // A new connection has no callbacks yet and would count as closed, so closed connections are
    // erased before it is added.
    if (server.connections_.size() + 1 >= server.options_.max_connections) {
        server.erase_closed_connections();
    }
    server.connections_.insert_or_assign(
        stream, std::make_unique<connection>(server.loop_, server.options_.connection,
                                             *server.options_.limits, stream));
    if (server.is_full()) {
        server.set_accepting(false);
    }
    return stream;
}

void http_server::handle_request(evhttp_request* request, void* self) {
    auto& server = *static_cast<http_server*>(self);
    ++server.counts_.requests;
    std::string address;
    if (auto* from = server.find_connection(request)) {
        from->begin_handling();
        address = from->address();
    }
    auto& limits = *server.options_.limits;
    const bool counted = server.options_.counts_requests;
    const bool admitted = !counted || limits.requests().take(address, 1);
    auto shared = std::make_shared<http_responder::exchange>(server, request,
                                                             counted && admitted ? address : "");
    server.exchanges_.insert(shared.get());
    evhttp_connection_set_closecb(evhttp_request_get_connection(request), &handle_close,
                                  shared.get());
    if (!admitted) {
        limits.record(limit_cause::requests, address, server.loop_.now());
        shared->respond({.status = status_service_unavailable, .headers = {{"Retry-After", "1"}}});
        return;
    }
    server.handler_.handle(read_request(request), http_responder{std::move(shared)});
}

void http_server::handle_close(evhttp_connection* /*closed*/, void* exchange) {
    static_cast<http_responder::exchange*>(exchange)->detach();
}

}  // namespace baobabrack
