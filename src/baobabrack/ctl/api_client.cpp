#include "baobabrack/ctl/api_client.hpp"

#include <optional>
#include <random>
#include <utility>

#include "baobabrack/ctl/problem_text.hpp"

namespace baobabrack::ctl {

namespace {

constexpr int status_unavailable = 503;

// Names are looked up while nothing else waits.
constexpr http_client::options client_options{.resolve_names = true};

std::string name_of(const http_endpoint& entry) {
    return entry.host + ":" + std::to_string(entry.port);
}

// A refusal of this entry that another one may not share.
bool is_passing(const http_response& response) {
    return response.status == status_unavailable && read_problem(response).ran() == "no";
}

}  // namespace

api_client::api_client(options opts)
    : options_(std::move(opts)), loop_(std::random_device{}()), client_(loop_, client_options) {
}

api_answer api_client::call(const api_call& made) {
    api_answer answer;
    const auto count = options_.entries.size();
    bool went_out = false;
    for (std::size_t tried = 0; tried < count; ++tried) {
        const auto index = (first_ + tried) % count;
        const auto& entry = options_.entries[index];
        auto outcome = try_entry(entry, made);
        answer.end = outcome.completion;
        if (outcome.completion == http_completion::answered) {
            answer.response = std::move(outcome.response);
            if (is_passing(answer.response) && tried + 1 < count) {
                answer.troubles.push_back(name_of(entry) + ": is not ready");
                continue;
            }
            first_ = index;
            return answer;
        }
        answer.troubles.push_back(name_of(entry) + ": " +
                                  std::string{to_string(outcome.completion)});
        went_out = went_out || outcome.completion != http_completion::not_sent;
        if (went_out && !made.repeatable) {
            return answer;
        }
    }
    if (went_out && !answer.answered()) {
        answer.end = http_completion::broken;
    }
    return answer;
}

void api_client::sleep(duration span) {
    loop_.schedule(span, [this] { loop_.stop(); });
    loop_.run();
}

http_outcome api_client::try_entry(const http_endpoint& entry, const api_call& made) {
    http_call call;
    call.to = entry;
    call.method = made.method;
    call.path = made.path;
    call.headers = made.headers;
    call.body = made.body;
    call.deadline = made.deadline;
    call.idempotent = made.repeatable;
    if (!options_.token.empty()) {
        call.headers.push_back({"Authorization", "Bearer " + options_.token});
    }
    http_outcome ended;
    client_.send(std::move(call), [&](http_outcome outcome) {
        ended = std::move(outcome);
        loop_.stop();
    });
    loop_.run();
    return ended;
}

}  // namespace baobabrack::ctl
