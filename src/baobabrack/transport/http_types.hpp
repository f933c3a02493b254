#ifndef BAOBABRACK_TRANSPORT_HTTP_TYPES_HPP
#define BAOBABRACK_TRANSPORT_HTTP_TYPES_HPP

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/services/target_service.hpp"
#include "baobabrack/units/failure.hpp"

namespace baobabrack {

/// Address of an HTTP server. The host is an IP address.
struct http_endpoint {
    std::string host;
    std::uint16_t port = 0;

    friend auto operator<=>(const http_endpoint&, const http_endpoint&) = default;
};

/// Parses "HOST:PORT". Port 0 selects a free port.
///
/// @return the endpoint, or a failure of the kind `invalid`
result<http_endpoint> parse_endpoint(std::string_view text);

/// @return whether the text is an IPv4 or IPv6 address
bool is_ip_address(const std::string& host);

/// A decoded `name=value` pair of a query string.
struct query_parameter {
    std::string name;
    std::string value;
};

/// A complete request as it was received.
struct http_request {
    std::string method;
    /// Path as received, not decoded, without the query.
    std::string path;
    /// Percent-decoded segments of the path; empty segments are skipped.
    std::vector<std::string> segments;
    std::vector<query_parameter> query;
    std::vector<http_header> headers;
    std::string body;
    std::string remote_host;
    std::uint16_t remote_port = 0;

    /// @return the value of a header, found ignoring case, or an empty string if it is missing
    std::string_view header(std::string_view name) const;

    /// @return the value of a query parameter, or an empty string if it is missing
    std::string_view parameter(std::string_view name) const;
};

struct http_response {
    int status = 200;
    std::vector<http_header> headers;
    std::string body;

    /// @return the value of a header, found ignoring case, or an empty string if it is missing
    std::string_view header(std::string_view name) const;
};

/// @return whether two header names are equal, ignoring case
bool header_names_equal(std::string_view left, std::string_view right);

/// @return the value of a header, found ignoring case, or an empty string if it is missing
std::string_view find_header(const std::vector<http_header>& headers, std::string_view name);

/// @return the unsigned decimal number that the text consists of, or `fallback` for other texts
std::uint64_t parse_number(std::string_view text, std::uint64_t fallback);

/// @return the text with all but unreserved characters percent-encoded
std::string percent_encode(std::string_view text);

}  // namespace baobabrack

#endif
