#include "baobabrack/ctl/api_client.hpp"

#include <optional>
#include <random>
#include <utility>

#include "baobabrack/ctl/problem_text.hpp"

namespace baobabrack::ctl {

namespace {

constexpr int status_unavailable = 503;

// A blocking name lookup is acceptable because the client makes one call at a time.
constexpr http_client::options client_options{.resolve_names = true};

std::string format_endpoint(const http_endpoint& entry) {
    return entry.host + ":" + std::to_string(entry.port);
}

// Returns whether the entry was unavailable and did not run the request, so that another entry may
// accept it.
bool is_unavailable_refusal(const http_response& response) {
    return response.status == status_unavailable && parse_problem(response).ran() == "no";
}

}  // namespace

api_client::api_client(options opts)
    : options_(std::move(opts)), loop_(std::random_device{}()), client_(loop_, client_options) {
}

api_outcome api_client::call(const api_request& request) {
    api_outcome outcome;
    const auto count = options_.entries.size();
    bool request_sent = false;
    for (std::size_t attempt = 0; attempt < count; ++attempt) {
        const auto entry_index = (preferred_entry_ + attempt) % count;
        const auto& entry = options_.entries[entry_index];
        auto entry_outcome = try_entry(entry, request);
        outcome.end = entry_outcome.completion;
        if (entry_outcome.completion == http_completion::answered) {
            outcome.response = std::move(entry_outcome.response);
            if (is_unavailable_refusal(outcome.response) && attempt + 1 < count) {
                outcome.failures.push_back(format_endpoint(entry) + ": is not ready");
                continue;
            }
            preferred_entry_ = entry_index;
            return outcome;
        }
        outcome.failures.push_back(format_endpoint(entry) + ": " +
                                   std::string{to_string(entry_outcome.completion)});
        request_sent = request_sent || entry_outcome.completion != http_completion::not_sent;
        if (request_sent && !request.retryable) {
            return outcome;
        }
    }
    if (request_sent && !outcome.has_response()) {
        outcome.end = http_completion::broken;
    }
    return outcome;
}

void api_client::sleep_for(duration span) {
    loop_.schedule(span, [this] { loop_.stop(); });
    loop_.run();
}

http_outcome api_client::try_entry(const http_endpoint& entry, const api_request& request) {
    http_call call;
    call.to = entry;
    call.method = request.method;
    call.path = request.path;
    call.headers = request.headers;
    call.body = request.body;
    call.deadline = request.deadline;
    call.idempotent = request.retryable;
    if (!options_.token.empty()) {
        call.headers.push_back({"Authorization", "Bearer " + options_.token});
    }
    http_outcome received;
    client_.send(std::move(call), [&](http_outcome outcome) {
        received = std::move(outcome);
        loop_.stop();
    });
    loop_.run();
    return received;
}

}  // namespace baobabrack::ctl
