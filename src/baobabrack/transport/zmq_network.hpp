#ifndef BAOBABRACK_TRANSPORT_ZMQ_NETWORK_HPP
#define BAOBABRACK_TRANSPORT_ZMQ_NETWORK_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "baobabrack/membership/peer_network.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"
#include "baobabrack/transport/client_limits.hpp"
#include "baobabrack/transport/event_handles.hpp"
#include "baobabrack/transport/peer_connections.hpp"
#include "baobabrack/transport/zmq_handles.hpp"

namespace baobabrack {

class event_runtime;

/// Exchanges messages between processes over ZeroMQ: one bound ROUTER socket receives, and one
/// DEALER socket per peer sends. Messages to a peer that is not connected are dropped. Anybody can
/// connect to the ROUTER socket, so its connections are limited.
class zmq_network : public peer_network {
public:
    struct options {
        /// Id of this process, which peers see as the sender; at most 255 bytes.
        std::string id;
        /// Endpoint to bind, such as tcp://127.0.0.1:7400; port * selects a free port.
        std::string endpoint;
        /// Maximum number of queued messages per peer and direction; further ones are dropped.
        int queue_limit = 4096;
        std::int64_t max_message_bytes = 8LL << 20;
        /// Peers that messages are sent to; the limit of open descriptors may allow fewer.
        std::size_t max_peers = 1000;
        /// Limits of accepted connections; the limit of open descriptors may allow fewer.
        peer_connections::options connections;
        /// Counts and logs limited peers; may be null.
        std::shared_ptr<client_limits> limits;
    };

    /// Counts of received, sent and dropped messages.
    struct counts {
        std::uint64_t received = 0;
        std::uint64_t received_bytes = 0;
        std::uint64_t undecodable = 0;
        std::uint64_t sent = 0;
        std::uint64_t sent_bytes = 0;
        std::uint64_t unsent = 0;
        /// Peers that were not connected for want of sockets.
        std::uint64_t refused_peers = 0;
        std::uint64_t closed_connections = 0;
    };

    /// Binds the endpoint. Throws std::runtime_error, whose message suggests a remedy, on failure.
    zmq_network(event_runtime& loop, options opts);
    zmq_network(const zmq_network&) = delete;
    zmq_network& operator=(const zmq_network&) = delete;
    ~zmq_network() override;

    void connect(const std::string& peer, const std::string& endpoint) override;
    void expect(const std::string& endpoint) override;
    void disconnect(const std::string& peer) override;
    void send(const std::string& peer, const wire::PeerMessage& message) override;
    void on_message(handler handle) override { handler_ = std::move(handle); }

    /// @return the bound endpoint, including the port
    std::string endpoint() const;

    const counts& totals() const { return counts_; }

private:
    struct peer_socket {
        std::string endpoint;
        zmq_socket socket;
        time_point last_used;
    };

    static void handle_readable(int descriptor, short what, void* self);
    static void handle_monitor(int descriptor, short what, void* self);
    void bind();
    void watch_connections();
    event_handle watch(const zmq_socket& socket, void (*callback)(int, short, void*));
    bool has_room_for_peer();
    void receive_batch();
    void read_connection_events();
    void check_silent_connections();
    void close_connection(int descriptor);
    bool handle_message(const std::string& sender, const void* data, std::size_t size);

    event_runtime& loop_;
    options options_;
    zmq_context context_;
    zmq_socket router_;
    // Reports accepted and closed connections of the ROUTER socket.
    zmq_socket monitor_;
    event_handle readable_event_;
    event_handle monitor_event_;
    scoped_timer receive_timer_;
    scoped_timer monitor_timer_;
    scoped_timer check_timer_;
    peer_connections connections_;
    std::uint16_t port_ = 0;
    std::map<std::string, peer_socket> peers_;
    handler handler_;
    counts counts_;
};

}  // namespace baobabrack

#endif
