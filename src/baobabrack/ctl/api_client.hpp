#ifndef BAOBABRACK_CTL_API_CLIENT_HPP
#define BAOBABRACK_CTL_API_CLIENT_HPP

#include <string>
#include <vector>

#include "baobabrack/transport/event_runtime.hpp"
#include "baobabrack/transport/http_client.hpp"

namespace baobabrack::ctl {

/// A request to the HTTP API of an entry.
struct api_request {
    std::string method = "GET";
    std::string path;
    std::vector<http_header> headers;
    std::string body;
    /// Whether the request may be sent to another entry after it was sent and got no response.
    bool retryable = true;
    duration deadline = std::chrono::seconds{15};
};

/// The outcome of a call over all entries that were tried.
struct api_outcome {
    http_completion end = http_completion::not_sent;
    http_response response;
    /// One line for each entry that did not respond or was not ready.
    std::vector<std::string> failures;

    bool has_response() const { return end == http_completion::answered; }
    bool succeeded() const {
        return has_response() && response.status >= 200 && response.status < 300;
    }
};

/// Sends requests to the HTTP API, trying the entries in turn until one responds.
class api_client {
public:
    struct options {
        std::vector<http_endpoint> entries;
        /// Bearer token; if empty, no Authorization header is sent.
        std::string token;
    };

    explicit api_client(options opts);

    /// Sends a request and blocks until its outcome is known. Tries the next entry if one cannot be
    /// reached, or responds that it is unavailable and did not run the request. After the request
    /// may have reached an entry, only retryable requests are sent to the next one.
    api_outcome call(const api_request& request);

    /// Blocks for a time span.
    void sleep_for(duration span);

private:
    http_outcome try_entry(const http_endpoint& entry, const api_request& request);

    options options_;
    event_runtime loop_;
    http_client client_;
    /// Index of the entry that responded last; the next call tries it first.
    std::size_t preferred_entry_ = 0;
};

}  // namespace baobabrack::ctl

#endif
