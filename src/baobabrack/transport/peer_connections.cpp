#include "baobabrack/transport/peer_connections.hpp"

#include <algorithm>

namespace baobabrack {

namespace {

constexpr std::size_t max_expected = 8192;

}  // namespace

void peer_connections::expect(const std::string& address) {
    if (expected_.size() < max_expected) {
        expected_.insert(address);
    }
}

std::optional<int> peer_connections::add(int descriptor, const std::string& address,
                                         time_point now) {
    connections_[descriptor] = {
        .accepted = now, .last_message = now, .proved = expected_.contains(address)};
    if (connections_.size() > options_.max_connections ||
        (!connections_.at(descriptor).proved && count_unproved() > options_.max_unproved)) {
        return find_replaceable(now).value_or(descriptor);
    }
    return std::nullopt;
}

void peer_connections::remove(int descriptor) {
    connections_.erase(descriptor);
}

void peer_connections::record_message(int descriptor, time_point now) {
    if (const auto found = connections_.find(descriptor); found != connections_.end()) {
        found->second.proved = true;
        found->second.last_message = now;
        found->second.first_received.reset();
    }
}

// Returns the oldest connection that may be closed for another.
std::optional<int> peer_connections::find_replaceable(time_point now) const {
    std::optional<int> oldest;
    for (const auto& [descriptor, candidate] : connections_) {
        const bool eligible = !candidate.proved && now - candidate.accepted >= options_.proof_time;
        if (eligible && (!oldest || candidate.accepted < connections_.at(*oldest).accepted)) {
            oldest = descriptor;
        }
    }
    return oldest;
}

std::size_t peer_connections::count_unproved() const {
    return static_cast<std::size_t>(
        std::count_if(connections_.begin(), connections_.end(),
                      [](const auto& entry) { return !entry.second.proved; }));
}

std::vector<int> peer_connections::silent(time_point now) const {
    std::vector<int> silent;
    for (const auto& [descriptor, candidate] : connections_) {
        if (now - candidate.last_message >= options_.silence) {
            silent.push_back(descriptor);
        }
    }
    return silent;
}

std::vector<int> peer_connections::choose_over_limit(const std::vector<received_bytes>& received) {
    std::vector<received_bytes> incomplete;
    std::uint64_t sum = 0;
    for (const auto& [descriptor, bytes] : received) {
        const auto found = connections_.find(descriptor);
        if (found == connections_.end()) {
            continue;
        }
        auto& checked = found->second;
        if (!checked.first_received) {
            checked.first_received = checked.proved ? bytes : 0;
        }
        const auto since_message = bytes - std::min(bytes, *checked.first_received);
        incomplete.push_back({.descriptor = descriptor, .bytes = since_message});
        sum += since_message;
    }
    std::sort(incomplete.begin(), incomplete.end(),
              [](const auto& left, const auto& right) { return left.bytes > right.bytes; });
    std::vector<int> chosen;
    for (const auto& [descriptor, bytes] : incomplete) {
        if (sum <= options_.max_silent_bytes) {
            break;
        }
        chosen.push_back(descriptor);
        sum -= bytes;
    }
    return chosen;
}

}  // namespace baobabrack
