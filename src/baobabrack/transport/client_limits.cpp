#include "baobabrack/transport/client_limits.hpp"

#include <sys/resource.h>

#include <algorithm>
#include <nlohmann/json.hpp>

#include "baobabrack/observe/json_log.hpp"

namespace baobabrack {

namespace {

constexpr duration log_interval = std::chrono::seconds{10};
constexpr std::size_t percent = 100;
// 200 descriptors are reserved for files; 256 serve outgoing connections and other processes of
// the system.
constexpr std::size_t reserved_descriptors = 456;
constexpr std::size_t min_connections = 16;

std::size_t share_of(std::size_t total, unsigned share) {
    return total * share / percent;
}

std::size_t connections_by_descriptors() {
    rlimit limit{};
    if (getrlimit(RLIMIT_NOFILE, &limit) != 0) {
        return min_connections;
    }
    const auto descriptors = static_cast<std::size_t>(limit.rlim_cur);
    return std::max(descriptors, reserved_descriptors + min_connections) - reserved_descriptors;
}

}  // namespace

bool shared_budget::take(const std::string& address, std::size_t amount) {
    const auto found = by_address_.find(address);
    const auto held = found != by_address_.end() ? found->second : 0;
    if (amount > total_ - used_ || amount > share_ - held) {
        return false;
    }
    used_ += amount;
    by_address_[address] = held + amount;
    return true;
}

void shared_budget::release(const std::string& address, std::size_t amount) {
    const auto found = by_address_.find(address);
    if (found == by_address_.end()) {
        return;
    }
    amount = std::min(amount, found->second);
    used_ -= amount;
    found->second -= amount;
    if (found->second == 0) {
        by_address_.erase(found);
    }
}

std::string_view to_string(limit_cause cause) {
    switch (cause) {
        case limit_cause::unread_response:
            return "unread-response";
        case limit_cause::slow_request:
            return "slow-request";
        case limit_cause::bytes:
            return "bytes";
        case limit_cause::requests:
            return "requests";
        case limit_cause::connections:
            return "connections";
        case limit_cause::peers:
            return "peers";
    }
    return "bytes";
}

client_limits::client_limits(options opts, metrics_registry* metrics)
    : options_(opts),
      bytes_(opts.max_bytes, share_of(opts.max_bytes, opts.address_share)),
      requests_(opts.max_requests, share_of(opts.max_requests, opts.address_share)),
      connection_bytes_(opts.max_connection_bytes),
      max_connections_(connections_by_descriptors()) {
    if (opts.max_connections > 0) {
        max_connections_ = std::min(max_connections_, opts.max_connections);
    }
    for (std::size_t i = 0; metrics != nullptr && i < limit_causes; ++i) {
        causes_.at(i).exported = &metrics->get_counter(
            "baobabrack_http_limited_total", "HTTP clients rejected or disconnected, by cause",
            {{"cause", std::string{to_string(limit_cause{i})}}});
    }
}

void client_limits::record(limit_cause cause, const std::string& address, time_point now) {
    auto& entry = causes_.at(static_cast<std::size_t>(cause));
    ++entry.total;
    entry.last_address = address;
    if (entry.exported != nullptr) {
        entry.exported->add();
    }
    if (entry.logged > 0 && now < entry.next_line) {
        return;
    }
    log_event(log_level::warning, "client-limited")
        .field("cause", to_string(cause))
        .field("address", address)
        .field("events", entry.total - entry.logged);
    entry.logged = entry.total;
    entry.next_line = now + log_interval;
}

std::uint64_t client_limits::count(limit_cause cause) const {
    return causes_.at(static_cast<std::size_t>(cause)).total;
}

std::string client_limits::to_json() const {
    auto clients = nlohmann::json::object();
    for (const auto& [address, amount] : bytes_.by_address()) {
        clients[address]["bytes"] = amount;
    }
    for (const auto& [address, amount] : requests_.by_address()) {
        clients[address]["requests"] = amount;
    }
    auto limited = nlohmann::json::object();
    for (std::size_t i = 0; i < limit_causes; ++i) {
        const auto& entry = causes_.at(i);
        limited[std::string{to_string(limit_cause{i})}] = {{"total", entry.total},
                                                           {"last_address", entry.last_address}};
    }
    return nlohmann::json{{"connections", connections_},
                          {"max_connections", max_connections_},
                          {"connection_bytes", connection_bytes_.used()},
                          {"max_connection_bytes", connection_bytes_.max_bytes()},
                          {"bytes", bytes_.used()},
                          {"max_bytes", options_.max_bytes},
                          {"requests", requests_.used()},
                          {"max_requests", options_.max_requests},
                          {"clients", std::move(clients)},
                          {"limited", std::move(limited)}}
        .dump();
}

}  // namespace baobabrack
