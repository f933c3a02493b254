#include "baobabrack/transport/http_worker_service.hpp"

#include <utility>

namespace baobabrack {

namespace {

constexpr int status_ok = 200;
constexpr int status_unavailable = 503;
constexpr int status_not_modified = 304;
constexpr duration inventory_timeout = std::chrono::seconds{2};

failure to_failure(const http_outcome& outcome, const std::string& peer) {
    if (outcome.completion == http_completion::not_sent) {
        return {failure_kind::unavailable, peer + " cannot be reached", "try again later"};
    }
    if (outcome.completion != http_completion::answered) {
        return {failure_kind::timed_out, peer + " did not answer in time", "repeat the call"};
    }
    const bool refused = outcome.response.status == status_unavailable;
    return {refused ? failure_kind::unavailable : failure_kind::timed_out,
            peer + " answered with status " + std::to_string(outcome.response.status),
            "check that the endpoint is the platform's"};
}

template <typename Message>
result<Message> decode_reply(const http_outcome& outcome, const std::string& peer) {
    if (outcome.completion != http_completion::answered || outcome.response.status != status_ok) {
        return to_failure(outcome, peer);
    }
    Message reply;
    if (!reply.ParseFromString(outcome.response.body)) {
        return failure{failure_kind::timed_out, "the answer of " + peer + " cannot be decoded",
                       "check that the endpoint is the platform's"};
    }
    return reply;
}

}  // namespace

void http_worker_service::call(const worker_id& worker, const wire::WorkerCall& call,
                               reply_callback done) {
    const auto endpoint = find_endpoint_(worker);
    http_call request;
    // A call without an endpoint completes as not sent.
    request.to = endpoint.value_or(http_endpoint{});
    request.path = "/workers/" + percent_encode(worker.get()) + "/call";
    request.headers = {{"Content-Type", "application/x-protobuf"}};
    request.body = call.SerializeAsString();
    request.deadline = options_.timeout;
    client_.send(std::move(request), [worker, done = std::move(done)](const http_outcome& outcome) {
        done(decode_reply<wire::WorkerReply>(outcome, "worker " + worker.get()));
    });
}

void http_worker_inventory::list(list_callback done) {
    http_call request;
    request.to = endpoint_;
    request.method = "GET";
    request.path = "/workers";
    request.deadline = inventory_timeout;
    if (!etag_.empty()) {
        request.headers.push_back({"If-None-Match", etag_});
    }
    client_.send(std::move(request), [this, alive = std::weak_ptr<bool>(alive_),
                                      done = std::move(done)](const http_outcome& outcome) {
        if (!alive.expired()) {
            handle_response(outcome, done);
        }
    });
}

void http_worker_inventory::handle_response(const http_outcome& outcome,
                                            const list_callback& done) {
    if (outcome.completion == http_completion::answered &&
        outcome.response.status == status_not_modified) {
        done(cached_list_);
        return;
    }
    auto list = decode_reply<wire::WorkerList>(outcome, "the worker inventory");
    if (list) {
        etag_ = outcome.response.header("ETag");
        cached_list_ = list.value();
    }
    done(std::move(list));
}

}  // namespace baobabrack
