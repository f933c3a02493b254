#include "fakes/fake_network.hpp"

#include <algorithm>

namespace baobabrack::fakes {

class fake_network::port : public peer_network {
public:
    port(fake_network& network, std::string id, std::size_t max_message_bytes)
        : network_(network), id_(std::move(id)), max_message_bytes_(max_message_bytes) {
        network_.ports_[id_] = this;
    }
    ~port() override {
        const auto found = network_.ports_.find(id_);
        if (found != network_.ports_.end() && found->second == this) {
            network_.ports_.erase(found);
        }
    }

    void connect(const std::string& peer, const std::string& /*endpoint*/) override {
        connected_.insert(peer);
    }
    void disconnect(const std::string& peer) override { connected_.erase(peer); }
    void send(const std::string& peer, const wire::PeerMessage& message) override {
        if (connected_.contains(peer)) {
            network_.send(id_, peer, message);
        }
    }
    void on_message(handler handle) override { handle_ = std::move(handle); }

    std::size_t max_message_bytes() const { return max_message_bytes_; }

    void receive(const std::string& sender, const wire::PeerMessage& message) {
        if (handle_) {
            handle_(sender, message);
        }
    }

private:
    fake_network& network_;
    std::string id_;
    std::size_t max_message_bytes_;
    std::set<std::string> connected_;
    handler handle_;
};

std::unique_ptr<peer_network> fake_network::attach(const std::string& id,
                                                   std::size_t max_message_bytes) {
    return std::make_unique<port>(*this, id, max_message_bytes);
}

void fake_network::partition(const std::string& first, const std::string& second) {
    partitions_.insert(ordered_pair(first, second));
}

void fake_network::heal(const std::string& first, const std::string& second) {
    partitions_.erase(ordered_pair(first, second));
}

void fake_network::send(const std::string& from, const std::string& to,
                        const wire::PeerMessage& message) {
    loop_.schedule(options_.delay, [this, from, to, message] { deliver(from, to, message); });
}

void fake_network::deliver(const std::string& from, const std::string& to,
                           const wire::PeerMessage& message) {
    const auto found = ports_.find(to);
    if (found == ports_.end() || partitions_.contains(ordered_pair(from, to)) ||
        cuts_.contains({from, to})) {
        return;
    }
    if (message.ByteSizeLong() > found->second->max_message_bytes()) {
        ++oversized_;
        return;
    }
    ++delivered_;
    found->second->receive(from, message);
}

fake_network::process_pair fake_network::ordered_pair(const std::string& first,
                                                      const std::string& second) {
    return {std::min(first, second), std::max(first, second)};
}

}  // namespace baobabrack::fakes
