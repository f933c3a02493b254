#ifndef BAOBABRACK_CTL_API_CLIENT_HPP
#define BAOBABRACK_CTL_API_CLIENT_HPP

#include <string>
#include <vector>

#include "baobabrack/transport/event_runtime.hpp"
#include "baobabrack/transport/http_client.hpp"

namespace baobabrack::ctl {

/// A call of the HTTP interface of entries.
struct api_call {
    std::string method = "GET";
    std::string path;
    std::vector<http_header> headers;
    std::string body;
    /// Whether the call may go to another entry after it went out without an answer.
    bool repeatable = true;
    duration deadline = std::chrono::seconds{15};
};

/// How a call ended, over every entry that was tried.
struct api_answer {
    http_completion end = http_completion::not_sent;
    http_response response;
    /// What happened at the entries that did not answer.
    std::vector<std::string> troubles;

    bool answered() const { return end == http_completion::answered; }
    bool succeeded() const { return answered() && response.status >= 200 && response.status < 300; }
};

/// Calls entries one after the other until one answers.
class api_client {
public:
    struct options {
        std::vector<http_endpoint> entries;
        /// Bearer token; empty sends none.
        std::string token;
    };

    explicit api_client(options opts);

    /// Makes a call and waits for its end. An entry that cannot be reached, or is not ready and
    /// has done nothing, is passed over for the next one.
    api_answer call(const api_call& made);

    /// Waits.
    void sleep(duration span);

private:
    http_outcome try_entry(const http_endpoint& entry, const api_call& made);

    options options_;
    event_runtime loop_;
    http_client client_;
    /// The entry that answered last is tried first.
    std::size_t first_ = 0;
};

}  // namespace baobabrack::ctl

#endif
