#include "baobabrack/transport/zmq_network.hpp"

#include <event2/event.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <zmq.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <stdexcept>

#include "baobabrack/transport/event_runtime.hpp"
#include "baobabrack/transport/socket_info.hpp"

namespace baobabrack {

namespace {

constexpr int reconnect_interval_ms = 100;
constexpr int max_reconnect_interval_ms = 400;
// A host that is down does not refuse connections, so an attempt needs a timeout; a short one
// reconnects soon after the host is back.
constexpr int connect_timeout_ms = 500;
// A connection without traffic for the timeout is closed and reopened.
constexpr int heartbeat_interval_ms = 500;
constexpr int heartbeat_timeout_ms = 1500;
// A connection that has not finished the handshake by then is closed.
constexpr int handshake_timeout_ms = 3000;
// Size of each kernel buffer of an accepted connection, which the kernel doubles.
constexpr int socket_buffer_bytes = 16 << 10;
// Maximum number of messages per loop iteration, so that other sockets are not starved.
constexpr int receive_batch_size = 256;
constexpr duration connection_check_interval = std::chrono::seconds{1};
// A peer that was not used for this long makes room for another.
constexpr duration peer_idle_time = std::chrono::seconds{60};
// Fraction of the descriptors for accepted connections, and for connections to peers.
constexpr std::size_t descriptor_fraction = 4;
// Sockets of the context besides those of peers.
constexpr std::size_t own_sockets = 8;
constexpr const char* monitor_endpoint = "inproc://peer-connections";

void set_option(const zmq_socket& socket, int option, int value) {
    zmq_setsockopt(socket.get(), option, &value, sizeof value);
}

// Returns the limit, or less if the process may not open as many descriptors.
std::size_t limit_by_descriptors(std::size_t limit) {
    rlimit descriptors{};
    if (getrlimit(RLIMIT_NOFILE, &descriptors) != 0) {
        return limit;
    }
    return std::min(limit, static_cast<std::size_t>(descriptors.rlim_cur) / descriptor_fraction);
}

zmq_network::options with_descriptor_limits(zmq_network::options options) {
    options.max_peers = limit_by_descriptors(options.max_peers);
    options.connections.max_connections = limit_by_descriptors(options.connections.max_connections);
    return options;
}

// Returns null if the context or the process has no more sockets.
zmq_socket open_socket(const zmq_context& context, int type, int queue_limit) {
    zmq_socket socket{::zmq_socket(context.get(), type)};
    if (!socket) {
        return socket;
    }
    set_option(socket, ZMQ_LINGER, 0);
    set_option(socket, ZMQ_SNDHWM, queue_limit);
    set_option(socket, ZMQ_RCVHWM, queue_limit);
    set_option(socket, ZMQ_HEARTBEAT_IVL, heartbeat_interval_ms);
    set_option(socket, ZMQ_HEARTBEAT_TIMEOUT, heartbeat_timeout_ms);
    return socket;
}

// A received message part.
class message_part {
public:
    message_part() { zmq_msg_init(&message_); }
    message_part(const message_part&) = delete;
    message_part& operator=(const message_part&) = delete;
    ~message_part() { zmq_msg_close(&message_); }

    bool receive(const zmq_socket& socket) {
        return zmq_msg_recv(&message_, socket.get(), ZMQ_DONTWAIT) >= 0;
    }
    bool more() { return zmq_msg_more(&message_) != 0; }
    const void* data() { return zmq_msg_data(&message_); }
    std::size_t size() { return zmq_msg_size(&message_); }
    std::string text() { return {static_cast<const char*>(data()), size()}; }

    /// @return the descriptor of the connection that the part was received on, or -1
    int source() { return zmq_msg_get(&message_, ZMQ_SRCFD); }

private:
    zmq_msg_t message_{};
};

}  // namespace

zmq_network::zmq_network(event_runtime& loop, options opts)
    : loop_(loop),
      options_(with_descriptor_limits(std::move(opts))),
      context_(zmq_ctx_new()),
      receive_timer_(loop),
      monitor_timer_(loop),
      check_timer_(loop),
      connections_(options_.connections) {
    zmq_ctx_set(context_.get(), ZMQ_MAX_SOCKETS,
                static_cast<int>(options_.max_peers + own_sockets));
    router_ = open_socket(context_, ZMQ_ROUTER, options_.queue_limit);
    if (!router_) {
        throw std::runtime_error("cannot open a ZeroMQ socket (raise the limit of open files)");
    }
    watch_connections();
    bind();
    readable_event_ = watch(router_, &handle_readable);
    receive_timer_.arm(duration::zero(), [this] { receive_batch(); });
    check_timer_.arm(connection_check_interval, [this] { check_silent_connections(); });
}

// Without its reader, the monitor would block ZeroMQ's own thread.
zmq_network::~zmq_network() {
    zmq_socket_monitor(router_.get(), nullptr, 0);
}

void zmq_network::bind() {
    // Lets a restarted process reuse its id while its previous connection is not closed yet.
    set_option(router_, ZMQ_ROUTER_HANDOVER, 1);
    zmq_setsockopt(router_.get(), ZMQ_MAXMSGSIZE, &options_.max_message_bytes,
                   sizeof options_.max_message_bytes);
    set_option(router_, ZMQ_HANDSHAKE_IVL, handshake_timeout_ms);
    set_option(router_, ZMQ_RCVBUF, socket_buffer_bytes);
    set_option(router_, ZMQ_SNDBUF, socket_buffer_bytes);
    if (zmq_bind(router_.get(), options_.endpoint.c_str()) != 0) {
        throw std::runtime_error("cannot bind " + options_.endpoint +
                                 " (choose an address of this host and a free port)");
    }
    const auto bound = endpoint();
    port_ = static_cast<std::uint16_t>(std::stoul(bound.substr(bound.rfind(':') + 1)));
}

void zmq_network::watch_connections() {
    zmq_socket_monitor(router_.get(), monitor_endpoint,
                       ZMQ_EVENT_ACCEPTED | ZMQ_EVENT_DISCONNECTED);
    monitor_.reset(::zmq_socket(context_.get(), ZMQ_PAIR));
    // A full queue would block ZeroMQ's own thread.
    set_option(monitor_, ZMQ_RCVHWM, 0);
    if (!monitor_ || zmq_connect(monitor_.get(), monitor_endpoint) != 0) {
        throw std::runtime_error(
            "cannot watch the connections of peers (raise the limit of files)");
    }
    monitor_event_ = watch(monitor_, &handle_monitor);
    monitor_timer_.arm(duration::zero(), [this] { read_connection_events(); });
}

event_handle zmq_network::watch(const zmq_socket& socket, void (*callback)(int, short, void*)) {
    int descriptor = -1;
    std::size_t size = sizeof descriptor;
    zmq_getsockopt(socket.get(), ZMQ_FD, &descriptor, &size);
    event_handle event{event_new(loop_.base(), descriptor, EV_READ | EV_PERSIST, callback, this)};
    event_add(event.get(), nullptr);
    return event;
}

std::string zmq_network::endpoint() const {
    std::array<char, 256> text{};
    std::size_t size = text.size();
    zmq_getsockopt(router_.get(), ZMQ_LAST_ENDPOINT, text.data(), &size);
    return text.data();
}

void zmq_network::connect(const std::string& peer, const std::string& endpoint) {
    const auto found = peers_.find(peer);
    if (found != peers_.end() && found->second.endpoint == endpoint) {
        found->second.last_used = loop_.now();
        return;
    }
    disconnect(peer);
    expect(endpoint);
    auto socket = has_room_for_peer() ? open_socket(context_, ZMQ_DEALER, options_.queue_limit)
                                      : zmq_socket{};
    if (!socket) {
        ++counts_.refused_peers;
        if (options_.limits != nullptr) {
            options_.limits->record(limit_cause::peers, endpoint, loop_.now());
        }
        return;
    }
    zmq_setsockopt(socket.get(), ZMQ_ROUTING_ID, options_.id.data(), options_.id.size());
    // Messages are not queued while disconnected: they would be stale after the reconnect.
    set_option(socket, ZMQ_IMMEDIATE, 1);
    set_option(socket, ZMQ_CONNECT_TIMEOUT, connect_timeout_ms);
    set_option(socket, ZMQ_TCP_MAXRT, heartbeat_timeout_ms);
    set_option(socket, ZMQ_RECONNECT_IVL, reconnect_interval_ms);
    set_option(socket, ZMQ_RECONNECT_IVL_MAX, max_reconnect_interval_ms);
    if (zmq_connect(socket.get(), endpoint.c_str()) != 0) {
        return;
    }
    peers_.insert_or_assign(
        peer,
        peer_socket{.endpoint = endpoint, .socket = std::move(socket), .last_used = loop_.now()});
}

// Messages name the peers to connect to, so any number of them could be named.
bool zmq_network::has_room_for_peer() {
    if (peers_.size() >= options_.max_peers) {
        std::erase_if(peers_, [this](const auto& entry) {
            return loop_.now() - entry.second.last_used > peer_idle_time;
        });
    }
    return peers_.size() < options_.max_peers;
}

void zmq_network::expect(const std::string& endpoint) {
    constexpr std::string_view scheme = "tcp://";
    if (endpoint.starts_with(scheme)) {
        const auto colon = endpoint.rfind(':');
        connections_.expect(endpoint.substr(scheme.size(), colon - scheme.size()));
    }
}

void zmq_network::disconnect(const std::string& peer) {
    peers_.erase(peer);
}

void zmq_network::send(const std::string& peer, const wire::PeerMessage& message) {
    const auto found = peers_.find(peer);
    if (found == peers_.end()) {
        ++counts_.unsent;
        return;
    }
    found->second.last_used = loop_.now();
    const auto payload = message.SerializeAsString();
    if (zmq_send(found->second.socket.get(), payload.data(), payload.size(), ZMQ_DONTWAIT) < 0) {
        ++counts_.unsent;
        return;
    }
    ++counts_.sent;
    counts_.sent_bytes += payload.size();
}

// ZMQ_FD is edge-triggered, so all messages must be read, or another iteration scheduled.
void zmq_network::handle_readable(int /*descriptor*/, short /*what*/, void* self) {
    static_cast<zmq_network*>(self)->receive_batch();
}

void zmq_network::receive_batch() {
    for (int count = 0; count < receive_batch_size; ++count) {
        message_part sender;
        if (!sender.receive(router_)) {
            return;
        }
        message_part body;
        if (!sender.more() || !body.receive(router_)) {
            ++counts_.undecodable;
            continue;
        }
        if (!body.more()) {
            if (handle_message(sender.text(), body.data(), body.size())) {
                connections_.record_message(body.source(), loop_.now());
            }
            continue;
        }
        ++counts_.undecodable;
        for (message_part rest; rest.receive(router_) && rest.more();) {
        }
    }
    receive_timer_.arm(duration::zero(), [this] { receive_batch(); });
}

// ZMQ_FD is edge-triggered here too.
void zmq_network::handle_monitor(int /*descriptor*/, short /*what*/, void* self) {
    static_cast<zmq_network*>(self)->read_connection_events();
}

void zmq_network::read_connection_events() {
    for (;;) {
        message_part event;
        if (!event.receive(monitor_)) {
            return;
        }
        // The first part has the event's number (16 bits) and the descriptor; the second one, which
        // is not needed, the address.
        std::uint16_t number = 0;
        std::int32_t descriptor = -1;
        if (event.size() >= sizeof number + sizeof descriptor) {
            std::memcpy(&number, event.data(), sizeof number);
            std::memcpy(&descriptor, static_cast<const char*>(event.data()) + sizeof number,
                        sizeof descriptor);
        }
        for (bool more = event.more(); more;) {
            message_part address;
            more = address.receive(monitor_) && address.more();
        }
        if (number == ZMQ_EVENT_DISCONNECTED) {
            connections_.remove(descriptor);
        } else if (const auto victim =
                       connections_.add(descriptor, peer_address(descriptor), loop_.now())) {
            close_connection(*victim);
        }
    }
}

// ZeroMQ stores incomplete messages without a limit on their number of parts.
void zmq_network::check_silent_connections() {
    std::vector<peer_connections::received_bytes> received;
    for (const int descriptor : connections_.silent(loop_.now())) {
        if (const auto bytes = received_bytes(descriptor)) {
            received.push_back({.descriptor = descriptor, .bytes = *bytes});
        }
    }
    for (const int descriptor : connections_.choose_over_limit(received)) {
        close_connection(descriptor);
    }
    check_timer_.arm(connection_check_interval, [this] { check_silent_connections(); });
}

// ZeroMQ owns the descriptor and closes it when it sees the end of file. It may have closed it
// already: then the descriptor is invalid or another connection of a peer, as all other sockets are
// opened by this thread and have other local ports.
void zmq_network::close_connection(int descriptor) {
    connections_.remove(descriptor);
    if (local_port(descriptor) != port_) {
        return;
    }
    ++counts_.closed_connections;
    if (options_.limits != nullptr) {
        options_.limits->record(limit_cause::peers, peer_address(descriptor), loop_.now());
    }
    shutdown(descriptor, SHUT_RDWR);
}

// Returns whether the message is valid.
bool zmq_network::handle_message(const std::string& sender, const void* data, std::size_t size) {
    wire::PeerMessage message;
    const bool decoded = message.ParseFromArray(data, static_cast<int>(size));
    if (!decoded || message.kind_case() == wire::PeerMessage::KIND_NOT_SET) {
        ++counts_.undecodable;
        return false;
    }
    ++counts_.received;
    counts_.received_bytes += size;
    if (handler_) {
        handler_(sender, message);
    }
    return true;
}

}  // namespace baobabrack
