#include "baobabrack/transport/http_target_service.hpp"

#include <algorithm>
#include <array>
#include <string_view>

namespace baobabrack {

namespace {

constexpr int status_unavailable = 503;

// Returns whether the service sets the header itself or the header applies to one connection only.
bool is_reserved_header(const http_header& header) {
    constexpr std::array<std::string_view, 11> reserved{
        "X-Request-Id",      "X-Workspace", "X-Claim-Token", "X-Deadline-Ms",
        "Idempotency-Key",   "Host",        "Connection",    "Content-Length",
        "Transfer-Encoding", "Keep-Alive",  "Expect"};
    return std::any_of(reserved.begin(), reserved.end(), [&](std::string_view name) {
        return header_names_equal(header.name, name);
    });
}

exchange_outcome to_exchange_end(http_completion completion) {
    switch (completion) {
        case http_completion::answered:
            return exchange_outcome::answered;
        case http_completion::not_sent:
            return exchange_outcome::not_sent;
        case http_completion::broken:
            return exchange_outcome::broken;
        case http_completion::timed_out:
            return exchange_outcome::timed_out;
    }
    return exchange_outcome::broken;
}

}  // namespace

http_call make_target_call(const target_request& request, const std::string& request_id) {
    http_call call;
    call.path =
        "/" + percent_encode(request.workspace.get()) + "/" + percent_encode(request.request_class);
    call.body = request.body;
    call.deadline = request.deadline;
    call.idempotent = !request.claim.has_value();
    for (const auto& header : request.headers) {
        if (!is_reserved_header(header)) {
            call.headers.push_back(header);
        }
    }
    const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(request.deadline);
    call.headers.push_back({"X-Request-Id", request_id});
    call.headers.push_back({"X-Workspace", request.workspace.get()});
    call.headers.push_back({"X-Deadline-Ms", std::to_string(time_left.count())});
    if (request.claim) {
        call.headers.push_back({"Idempotency-Key", request.claim->key.get()});
        call.headers.push_back({"X-Claim-Token", std::to_string(request.claim->offset.get())});
    }
    return call;
}

void http_target_service::send(const target_id& target, const target_request& request,
                               reply_callback done) {
    const auto request_id = options_.request_id_prefix + "-" + std::to_string(request.id);
    auto call = make_target_call(request, request_id);
    // A call without an endpoint completes as not sent.
    call.to = find_endpoint_(target).value_or(http_endpoint{});
    const call_key key{target, request.id};
    const auto on_complete = [this, key, request_id, done = std::move(done)](http_outcome outcome) {
        calls_.erase(key);
        done(to_target_reply(std::move(outcome), request_id));
    };
    calls_.insert_or_assign(key, client_.send(std::move(call), on_complete));
}

void http_target_service::abandon(const target_id& target, std::uint64_t request) {
    const auto found = calls_.find({target, request});
    if (found == calls_.end()) {
        return;
    }
    client_.abandon(found->second);
    calls_.erase(found);
}

void http_target_service::fence(const target_id& /*target*/, const workspace_id& /*workspace*/,
                                const claim_token& /*claim*/, std::function<void(ran_state)> done) {
    // No guard is involved in direct calls, so it is unknown whether the request ran.
    done(ran_state::unknown);
}

target_reply http_target_service::to_target_reply(http_outcome outcome,
                                                  const std::string& request_id) {
    target_reply reply;
    reply.outcome = to_exchange_end(outcome.completion);
    if (outcome.completion != http_completion::answered) {
        return reply;
    }
    if (outcome.response.header("X-Request-Id") != request_id) {
        ++counts_.mismatched_responses;
        reply.outcome = exchange_outcome::broken;
        return reply;
    }
    const bool refused = outcome.response.status == status_unavailable;
    if (refused && outcome.response.header("X-Ran") == "no") {
        ++counts_.refused_not_run;
        reply.outcome = exchange_outcome::refused_not_run;
    }
    reply.status = outcome.response.status;
    reply.headers = std::move(outcome.response.headers);
    reply.body = std::move(outcome.response.body);
    return reply;
}

}  // namespace baobabrack
