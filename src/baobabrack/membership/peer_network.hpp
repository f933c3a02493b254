#ifndef BAOBABRACK_MEMBERSHIP_PEER_NETWORK_HPP
#define BAOBABRACK_MEMBERSHIP_PEER_NETWORK_HPP

#include <functional>
#include <string>

#include "baobabrack/peer.pb.h"

namespace baobabrack {

/// Message transport to other baobabrack processes: entries and guards. Messages may be lost, but
/// are never truncated, and messages from one sender arrive in order.
class peer_network {
public:
    /// Called with the id of the sender and the message.
    using handler = std::function<void(const std::string& sender, const wire::PeerMessage&)>;

    peer_network() = default;
    peer_network(const peer_network&) = delete;
    peer_network& operator=(const peer_network&) = delete;
    virtual ~peer_network() = default;

    /// Adds the address of a peer or replaces it.
    virtual void connect(const std::string& peer, const std::string& endpoint) = 0;

    /// Prefers connections from the host of a peer to those of strangers.
    virtual void expect(const std::string& /*endpoint*/) {}

    /// Removes a peer.
    virtual void disconnect(const std::string& peer) = 0;

    /// Sends without blocking. Drops the message if the peer is unknown or its queue is full.
    virtual void send(const std::string& peer, const wire::PeerMessage& message) = 0;

    /// Sets the only handler for incoming messages.
    virtual void on_message(handler handle) = 0;
};

}  // namespace baobabrack

#endif
