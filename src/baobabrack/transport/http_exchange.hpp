#ifndef BAOBABRACK_TRANSPORT_HTTP_EXCHANGE_HPP
#define BAOBABRACK_TRANSPORT_HTTP_EXCHANGE_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/transport/http_types.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Names one call of an http_client.
enum class http_call_id : std::uint64_t { none = 0 };

/// A request to send.
struct http_call {
    http_endpoint to;
    std::string method = "POST";
    /// Path, percent-encoded, with the query.
    std::string path = "/";
    std::vector<http_header> headers;
    std::string body;
    /// Time for the whole exchange, with the wait for a connection.
    duration deadline = std::chrono::seconds{10};
    /// Whether a second delivery does no harm. Other requests go on new connections and on those
    /// that have just answered, as an idle one may be dead without a sign.
    bool idempotent = true;
};

/// How a call ended.
enum class http_completion {
    /// A whole answer.
    answered,
    /// No byte of the request has left this process.
    not_sent,
    /// Bytes went out, and the connection ended before a whole answer came.
    broken,
    /// Bytes went out, and the deadline came first.
    timed_out,
};

/// @return the end's name for logs and metrics
std::string_view to_string(http_completion completion);

struct http_outcome {
    http_completion completion = http_completion::broken;
    /// Set if the call was answered.
    http_response response;
};

}  // namespace baobabrack

#endif
