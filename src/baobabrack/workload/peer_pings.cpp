#include "baobabrack/workload/peer_pings.hpp"

#include <set>

namespace baobabrack::workload {

namespace {

using namespace std::chrono_literals;

constexpr duration ping_interval = 200ms;
// A peer counts as silent only after three consecutive pings were lost.
constexpr duration peer_timeout = 700ms;
// A peer that has been silent for this long receives no more pings.
constexpr duration peer_retention = 30s;
// Any number of schedulers could be named by messages.
constexpr std::size_t max_peers = 256;

}  // namespace

peer_pings::peer_pings(options opts, runtime& loop, peer_network& network)
    : options_(std::move(opts)), loop_(loop), network_(network), timer_(loop) {
}

void peer_pings::start(std::function<state()> get_state) {
    get_state_ = std::move(get_state);
    ping();
}

void peer_pings::ping() {
    timer_.arm(ping_interval, [this] { ping(); });
    const auto own = get_state_();
    wire::PeerMessage out;
    auto& message = *out.mutable_workload_ping();
    message.set_scheduler(options_.id);
    message.set_zmq_endpoint(options_.zmq_endpoint);
    message.set_term(own.term);
    message.set_store_answers(own.store_available);
    std::set<std::string> receivers(options_.seeds.begin(), options_.seeds.end());
    for (const auto& [endpoint, peer] : peers_) {
        if (loop_.now() - peer.last_heard < peer_retention) {
            receivers.insert(endpoint);
        }
    }
    receivers.erase(options_.zmq_endpoint);
    for (const auto& endpoint : receivers) {
        network_.connect(endpoint, endpoint);
        network_.send(endpoint, out);
    }
}

void peer_pings::handle(const wire::WorkloadPing& message) {
    if (!peers_.contains(message.zmq_endpoint()) && !has_room()) {
        return;
    }
    peers_[message.zmq_endpoint()] = {.last_heard = loop_.now(),
                                      .term = message.term(),
                                      .store_available = message.store_answers()};
}

bool peer_pings::has_room() {
    if (peers_.size() >= max_peers) {
        std::erase_if(peers_, [this](const auto& entry) {
            return loop_.now() - entry.second.last_heard >= peer_retention;
        });
    }
    return peers_.size() < max_peers;
}

bool peer_pings::is_alive(const std::string& endpoint) const {
    const auto found = peers_.find(endpoint);
    return found != peers_.end() && loop_.now() - found->second.last_heard < peer_timeout;
}

bool peer_pings::reports_leadership(const std::string& endpoint) const {
    return is_alive(endpoint) && peers_.at(endpoint).term > 0;
}

bool peer_pings::reports_store_loss(const std::string& endpoint) const {
    return is_alive(endpoint) && !peers_.at(endpoint).store_available;
}

std::optional<std::string> peer_pings::find_peer_with_store() const {
    for (const auto& [endpoint, peer] : peers_) {
        if (is_alive(endpoint) && peer.store_available) {
            return endpoint;
        }
    }
    return std::nullopt;
}

}  // namespace baobabrack::workload
