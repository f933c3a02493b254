#include "baobabrack/transport/http_types.hpp"

#include <arpa/inet.h>
#include <event2/util.h>

#include <charconv>
#include <limits>

namespace baobabrack {

namespace {

bool is_unreserved(char character) {
    const bool alphanumeric = (character >= 'a' && character <= 'z') ||
                              (character >= 'A' && character <= 'Z') ||
                              (character >= '0' && character <= '9');
    return alphanumeric || character == '-' || character == '.' || character == '_' ||
           character == '~';
}

}  // namespace

result<http_endpoint> parse_endpoint(std::string_view text) {
    const failure invalid_endpoint{failure_kind::invalid,
                                   "\"" + std::string{text} + "\" is not HOST:PORT",
                                   "specify an IP address and a port, such as 127.0.0.1:7300"};
    const auto colon = text.rfind(':');
    if (colon == std::string_view::npos || colon == 0) {
        return invalid_endpoint;
    }
    constexpr std::uint64_t no_port = std::numeric_limits<std::uint64_t>::max();
    const auto port = parse_number(text.substr(colon + 1), no_port);
    if (port > std::numeric_limits<std::uint16_t>::max()) {
        return invalid_endpoint;
    }
    auto host = text.substr(0, colon);
    if (host.size() > 2 && host.front() == '[' && host.back() == ']') {
        host = host.substr(1, host.size() - 2);
    }
    return http_endpoint{.host = std::string{host}, .port = static_cast<std::uint16_t>(port)};
}

bool is_ip_address(const std::string& host) {
    in6_addr address{};
    return inet_pton(AF_INET, host.c_str(), &address) == 1 ||
           inet_pton(AF_INET6, host.c_str(), &address) == 1;
}

bool header_names_equal(std::string_view left, std::string_view right) {
    return left.size() == right.size() &&
           evutil_ascii_strncasecmp(left.data(), right.data(), left.size()) == 0;
}

std::string_view find_header(const std::vector<http_header>& headers, std::string_view name) {
    for (const auto& header : headers) {
        if (header_names_equal(header.name, name)) {
            return header.value;
        }
    }
    return {};
}

std::string_view http_request::header(std::string_view name) const {
    return find_header(headers, name);
}

std::string_view http_request::parameter(std::string_view name) const {
    for (const auto& parameter : query) {
        if (parameter.name == name) {
            return parameter.value;
        }
    }
    return {};
}

std::string_view http_response::header(std::string_view name) const {
    return find_header(headers, name);
}

std::uint64_t parse_number(std::string_view text, std::uint64_t fallback) {
    std::uint64_t number = 0;
    const auto* end = text.data() + text.size();
    const auto parsed = std::from_chars(text.data(), end, number);
    const bool complete = parsed.ec == std::errc{} && parsed.ptr == end;
    return complete && !text.empty() ? number : fallback;
}

std::string percent_encode(std::string_view text) {
    constexpr std::string_view hex_digits = "0123456789ABCDEF";
    std::string encoded;
    for (const char character : text) {
        if (is_unreserved(character)) {
            encoded += character;
            continue;
        }
        const auto byte = static_cast<unsigned char>(character);
        encoded += '%';
        encoded += hex_digits[byte >> 4U];
        encoded += hex_digits[byte & 0xFU];
    }
    return encoded;
}

}  // namespace baobabrack
