#include "baobabrack/workload/peer_pings.hpp"

#include <set>

namespace baobabrack::workload {

namespace {

using namespace std::chrono_literals;

constexpr duration ping_interval = 200ms;
// Three pings may be lost before a scheduler counts as silent.
constexpr duration ping_silence = 700ms;
// A scheduler that is silent for this long gets no more pings.
constexpr duration peer_forgotten = 30s;

}  // namespace

peer_pings::peer_pings(options opts, runtime& loop, peer_network& network)
    : options_(std::move(opts)), loop_(loop), network_(network), timer_(loop) {
}

void peer_pings::start(std::function<state()> own) {
    own_ = std::move(own);
    ping();
}

void peer_pings::ping() {
    timer_.arm(ping_interval, [this] { ping(); });
    const auto own = own_();
    wire::PeerMessage out;
    auto& message = *out.mutable_workload_ping();
    message.set_scheduler(options_.id);
    message.set_zmq_endpoint(options_.zmq_endpoint);
    message.set_term(own.term);
    message.set_store_answers(own.store_available);
    std::set<std::string> receivers(options_.seeds.begin(), options_.seeds.end());
    for (const auto& [endpoint, one] : peers_) {
        if (loop_.now() - one.heard < peer_forgotten) {
            receivers.insert(endpoint);
        }
    }
    receivers.erase(options_.zmq_endpoint);
    for (const auto& endpoint : receivers) {
        network_.connect(endpoint, endpoint);
        network_.send(endpoint, out);
    }
}

void peer_pings::take(const wire::WorkloadPing& message) {
    peers_[message.zmq_endpoint()] = {
        .heard = loop_.now(), .term = message.term(), .store_answers = message.store_answers()};
}

bool peer_pings::is_alive(const std::string& endpoint) const {
    const auto found = peers_.find(endpoint);
    return found != peers_.end() && loop_.now() - found->second.heard < ping_silence;
}

bool peer_pings::reports_leadership(const std::string& endpoint) const {
    return is_alive(endpoint) && peers_.at(endpoint).term > 0;
}

bool peer_pings::reports_store_loss(const std::string& endpoint) const {
    return is_alive(endpoint) && !peers_.at(endpoint).store_answers;
}

std::optional<std::string> peer_pings::find_peer_with_store() const {
    for (const auto& [endpoint, one] : peers_) {
        if (is_alive(endpoint) && one.store_answers) {
            return endpoint;
        }
    }
    return std::nullopt;
}

}  // namespace baobabrack::workload
