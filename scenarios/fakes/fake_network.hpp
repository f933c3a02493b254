#ifndef BAOBABRACK_FAKES_FAKE_NETWORK_HPP
#define BAOBABRACK_FAKES_FAKE_NETWORK_HPP

#include <cstddef>
#include <cstdint>
#include <limits>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <utility>

#include "baobabrack/membership/peer_network.hpp"
#include "baobabrack/runtime/runtime.hpp"

namespace baobabrack::fakes {

/// Delivers peer messages between processes in virtual time. Tests can partition pairs of
/// processes.
class fake_network {
public:
    struct options {
        duration delay = std::chrono::microseconds{500};
    };

    fake_network(runtime& loop, options opts) : loop_(loop), options_(opts) {}

    /// @param max_message_bytes larger messages to this process are lost, as a real receiver closes
    ///                          the connection
    /// @return the network interface of the process `id`; it must not outlive this object
    std::unique_ptr<peer_network> attach(
        const std::string& id,
        std::size_t max_message_bytes = std::numeric_limits<std::size_t>::max());

    /// Drops all messages between two processes, in both directions, until `heal`.
    void partition(const std::string& first, const std::string& second);
    void heal(const std::string& first, const std::string& second);

    /// Drops all messages from one process to another until `restore`.
    void cut(const std::string& from, const std::string& to) { cuts_.insert({from, to}); }
    void restore(const std::string& from, const std::string& to) { cuts_.erase({from, to}); }

    std::uint64_t delivered() const { return delivered_; }

    /// @return the number of messages that were larger than their receiver takes
    std::uint64_t oversized() const { return oversized_; }

private:
    class port;
    using process_pair = std::pair<std::string, std::string>;

    void send(const std::string& from, const std::string& to, const wire::PeerMessage& message);
    void deliver(const std::string& from, const std::string& to, const wire::PeerMessage& message);
    static process_pair ordered_pair(const std::string& first, const std::string& second);

    runtime& loop_;
    options options_;
    std::map<std::string, port*> ports_;
    std::set<process_pair> partitions_;
    // Sender and receiver.
    std::set<process_pair> cuts_;
    std::uint64_t delivered_ = 0;
    std::uint64_t oversized_ = 0;
};

}  // namespace baobabrack::fakes

#endif
