#ifndef BAOBABRACK_TRANSPORT_HTTP_EXCHANGE_HPP
#define BAOBABRACK_TRANSPORT_HTTP_EXCHANGE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/transport/http_types.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Identifies one call of an http_client.
enum class http_call_id : std::uint64_t { none = 0 };

/// A request to send.
struct http_call {
    http_endpoint to;
    std::string method = "POST";
    /// Percent-encoded path, including the query.
    std::string path = "/";
    std::vector<http_header> headers;
    std::string body;
    /// Time limit of the whole exchange, including the wait for a connection.
    duration deadline = std::chrono::seconds{10};
    /// Whether the request may be delivered twice. Other requests only use new connections and
    /// those with a recent response, as the peer of an idle connection may be gone unnoticed.
    bool idempotent = true;
};

/// How a call completed.
enum class http_completion {
    /// A complete response was received.
    answered,
    /// No byte of the request was sent.
    not_sent,
    /// Bytes were sent, and the connection failed before a complete response was received.
    broken,
    /// Bytes were sent, and the deadline expired before a complete response was received.
    timed_out,
};

/// @return the name used in logs and metrics
std::string_view to_string(http_completion completion);

struct http_outcome {
    http_completion completion = http_completion::broken;
    /// Set only if the call was answered.
    http_response response;
};

}  // namespace baobabrack

#endif
