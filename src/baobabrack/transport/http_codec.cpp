#include "baobabrack/transport/http_codec.hpp"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/keyvalq_struct.h>

#include <cstdlib>
#include <memory>

namespace baobabrack {

namespace {

struct c_string_deleter {
    void operator()(char* text) const {
        // libevent allocates this memory with malloc.
        std::free(text);  // NOLINT(cppcoreguidelines-no-malloc)
    }
};

struct buffer_deleter {
    void operator()(evbuffer* buffer) const { evbuffer_free(buffer); }
};

std::string method_name(evhttp_cmd_type method) {
    switch (method) {
        case EVHTTP_REQ_GET:
            return "GET";
        case EVHTTP_REQ_POST:
            return "POST";
        case EVHTTP_REQ_PUT:
            return "PUT";
        case EVHTTP_REQ_DELETE:
            return "DELETE";
        case EVHTTP_REQ_HEAD:
            return "HEAD";
        default:
            return "";
    }
}

std::string percent_decode(const std::string& text) {
    std::size_t size = 0;
    const std::unique_ptr<char, c_string_deleter> decoded{evhttp_uridecode(text.c_str(), 0, &size)};
    return decoded ? std::string{decoded.get(), size} : std::string{};
}

std::vector<std::string> split_path(std::string_view path) {
    std::vector<std::string> segments;
    std::size_t start = 0;
    while (start < path.size()) {
        const auto slash = std::min(path.find('/', start), path.size());
        if (slash > start) {
            segments.push_back(percent_decode(std::string{path.substr(start, slash - start)}));
        }
        start = slash + 1;
    }
    return segments;
}

std::vector<query_parameter> parse_query(const char* query) {
    std::vector<query_parameter> parameters;
    if (query == nullptr) {
        return parameters;
    }
    evkeyvalq raw{};
    if (evhttp_parse_query_str(query, &raw) != 0) {
        return parameters;
    }
    for (const auto* field = raw.tqh_first; field != nullptr; field = field->next.tqe_next) {
        parameters.push_back({.name = field->key, .value = field->value});
    }
    evhttp_clear_headers(&raw);
    return parameters;
}

}  // namespace

timeval to_timeval(duration span) {
    constexpr std::int64_t us_per_second = 1'000'000;
    timeval value{};
    value.tv_sec = span.count() / us_per_second;
    value.tv_usec = span.count() % us_per_second;
    return value;
}

std::vector<http_header> read_headers(const evkeyvalq& raw) {
    std::vector<http_header> headers;
    for (const auto* field = raw.tqh_first; field != nullptr; field = field->next.tqe_next) {
        headers.push_back({.name = field->key, .value = field->value});
    }
    return headers;
}

std::string read_body(evhttp_request* raw) {
    auto* input = evhttp_request_get_input_buffer(raw);
    std::string body(evbuffer_get_length(input), '\0');
    evbuffer_copyout(input, body.data(), body.size());
    return body;
}

http_request read_request(evhttp_request* raw) {
    http_request request;
    request.method = method_name(evhttp_request_get_command(raw));
    if (const auto* uri = evhttp_request_get_evhttp_uri(raw)) {
        const auto* path = evhttp_uri_get_path(uri);
        request.path = path != nullptr ? path : "";
        request.segments = split_path(request.path);
        request.query = parse_query(evhttp_uri_get_query(uri));
    }
    request.headers = read_headers(*evhttp_request_get_input_headers(raw));
    request.body = read_body(raw);
    char* host = nullptr;
    evhttp_connection_get_peer(evhttp_request_get_connection(raw), &host, &request.remote_port);
    request.remote_host = host != nullptr ? host : "";
    return request;
}

void send_response(evhttp_request* raw, const http_response& response, bool close_connection) {
    auto* headers = evhttp_request_get_output_headers(raw);
    for (const auto& header : response.headers) {
        evhttp_add_header(headers, header.name.c_str(), header.value.c_str());
    }
    if (close_connection) {
        evhttp_add_header(headers, "Connection", "close");
    }
    const std::unique_ptr<evbuffer, buffer_deleter> body{evbuffer_new()};
    evbuffer_add(body.get(), response.body.data(), response.body.size());
    evhttp_send_reply(raw, response.status, nullptr, body.get());
}

}  // namespace baobabrack
