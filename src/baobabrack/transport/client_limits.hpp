#ifndef BAOBABRACK_TRANSPORT_CLIENT_LIMITS_HPP
#define BAOBABRACK_TRANSPORT_CLIENT_LIMITS_HPP

#include <algorithm>
#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "baobabrack/metrics/registry.hpp"
#include "baobabrack/transport/connection_budget.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// An amount that client addresses share. No address can take more than its share.
class shared_budget {
public:
    /// @param total the most that all addresses hold together
    /// @param share the most that one address holds
    shared_budget(std::size_t total, std::size_t share) : total_(total), share_(share) {}

    /// @return whether the amount was available; nothing is taken otherwise
    bool take(const std::string& address, std::size_t amount);

    /// Returns an amount that was taken.
    void release(const std::string& address, std::size_t amount);

    std::size_t used() const { return used_; }
    const std::map<std::string, std::size_t>& by_address() const { return by_address_; }

private:
    std::size_t total_;
    std::size_t share_;
    std::size_t used_ = 0;
    std::map<std::string, std::size_t> by_address_;
};

/// Why a client was rejected or its connection closed.
enum class limit_cause : std::size_t {
    /// A response was not read in time.
    unread_response,
    /// A request was not received in time.
    slow_request,
    /// The bytes of requests and responses in progress are used up.
    bytes,
    /// The requests in progress are used up; status 503.
    requests,
    /// An idle connection was closed, because the connections are used up.
    connections,
    /// A connection to the peers' port was closed, or a peer was not connected to.
    peers,
};
constexpr std::size_t limit_causes = 6;

/// @return the name used in logs and metrics
std::string_view to_string(limit_cause cause);

/// What the HTTP servers of one process grant to their clients together.
class client_limits {
public:
    struct options {
        /// Bytes of request bodies and large responses, beyond what each connection may always
        /// hold.
        std::size_t max_bytes = 16UL << 20U;
        std::size_t max_requests = 1024;
        /// Memory of all open connections, in the process and in the kernel.
        std::size_t max_connection_bytes = 48UL << 20U;
        /// 0: what the limit of open descriptors allows.
        std::size_t max_connections = 0;
        /// Percentage of each amount that one client address may hold.
        unsigned address_share = 50;
    };

    explicit client_limits(options opts) : client_limits(opts, nullptr) {}

    /// @param metrics counts limited clients by cause; may be null
    client_limits(options opts, metrics_registry* metrics);

    shared_budget& bytes() { return bytes_; }
    shared_budget& requests() { return requests_; }
    connection_budget& connection_bytes() { return connection_bytes_; }

    /// Counts an open connection of any server.
    void add_connection() { ++connections_; }
    void remove_connection() { --connections_; }

    /// @param reserved bytes that must remain available to the connections of other servers
    /// @return whether another connection may be accepted
    bool accepts_connection(std::size_t reserved = 0) const {
        return connections_ < max_connections_ && connection_bytes_.has_room(reserved);
    }

    /// @return the fraction of the connections or of their memory that is used, whichever is larger
    double use(std::size_t reserved = 0) const {
        return std::max(static_cast<double>(connections_) / static_cast<double>(max_connections_),
                        connection_bytes_.use(reserved));
    }

    std::size_t max_connections() const { return max_connections_; }

    /// Counts a rejected client or closed connection, and logs it at most once for each cause in 10
    /// s, with the number of events since the last line.
    void record(limit_cause cause, const std::string& address, time_point now);

    std::uint64_t count(limit_cause cause) const;

    /// @return what each address holds and the last limited addresses, as a JSON document
    std::string to_json() const;

private:
    struct cause_record {
        std::uint64_t total = 0;
        std::uint64_t logged = 0;
        time_point next_line{};
        std::string last_address;
        counter* exported = nullptr;
    };

    options options_;
    shared_budget bytes_;
    shared_budget requests_;
    connection_budget connection_bytes_;
    std::size_t max_connections_;
    std::size_t connections_ = 0;
    std::array<cause_record, limit_causes> causes_;
};

}  // namespace baobabrack

#endif
