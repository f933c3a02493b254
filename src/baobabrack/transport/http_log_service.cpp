#include "baobabrack/transport/http_log_service.hpp"

#include <utility>

#include "baobabrack/platform.pb.h"

namespace baobabrack {

namespace {

constexpr int status_ok = 200;
constexpr int status_gone = 410;
constexpr int status_too_many = 429;
constexpr int status_unavailable = 503;

failure status_failure(int status) {
    switch (status) {
        case status_gone:
            return {failure_kind::expired, "the log no longer keeps this offset",
                    "start from the newest snapshot"};
        case status_too_many:
            return {failure_kind::exhausted, "the log's append limit is reached",
                    "batch more records into one append, or wait"};
        case status_unavailable:
            return {failure_kind::unavailable, "the log is unavailable", "try again later"};
        default:
            return {failure_kind::timed_out,
                    "the log answered with status " + std::to_string(status),
                    "check the log service's endpoint in the settings"};
    }
}

failure to_failure(const http_outcome& outcome) {
    if (outcome.completion == http_completion::not_sent) {
        return {failure_kind::unavailable, "the log cannot be reached",
                "check the log service and its endpoint in the settings"};
    }
    if (outcome.completion != http_completion::answered) {
        return {failure_kind::timed_out, "the log did not answer in time",
                "read the log's tail to see whether the append took effect"};
    }
    return status_failure(outcome.response.status);
}

bool is_ok(const http_outcome& outcome) {
    return outcome.completion == http_completion::answered && outcome.response.status == status_ok;
}

result<log_offset> decode_append_reply(const http_outcome& outcome) {
    if (!is_ok(outcome)) {
        return to_failure(outcome);
    }
    wire::AppendReply reply;
    if (!reply.ParseFromString(outcome.response.body)) {
        return failure{failure_kind::timed_out, "the log's answer cannot be decoded",
                       "read the log's tail to see whether the append took effect"};
    }
    return log_offset{reply.offset()};
}

result<log_page> decode_read_reply(const http_outcome& outcome) {
    if (!is_ok(outcome)) {
        return to_failure(outcome);
    }
    wire::ReadReply reply;
    if (!reply.ParseFromString(outcome.response.body)) {
        return failure{failure_kind::unavailable, "the log's answer cannot be decoded",
                       "check the log service's endpoint in the settings"};
    }
    log_page page{
        .oldest = log_offset{reply.oldest()}, .end = log_offset{reply.end()}, .entries = {}};
    page.entries.reserve(static_cast<std::size_t>(reply.entries_size()));
    for (auto& entry : *reply.mutable_entries()) {
        page.entries.push_back(
            {.offset = log_offset{entry.offset()}, .payload = std::move(*entry.mutable_payload())});
    }
    return page;
}

}  // namespace

void http_log_service::append(std::string payload, append_callback done) {
    http_call call;
    call.to = options_.endpoint;
    call.path = "/log/append";
    call.headers = {{"Content-Type", "application/octet-stream"}};
    call.body = std::move(payload);
    call.deadline = options_.append_timeout;
    call.idempotent = false;
    client_.send(std::move(call), [done = std::move(done)](const http_outcome& outcome) {
        done(decode_append_reply(outcome));
    });
}

void http_log_service::read(log_offset from, std::size_t max_entries, read_callback done) {
    const auto wait = std::chrono::duration_cast<std::chrono::milliseconds>(options_.read_wait);
    http_call call;
    call.to = options_.endpoint;
    call.method = "GET";
    call.path = "/log/read?from=" + std::to_string(from.get()) +
                "&most=" + std::to_string(max_entries) + "&wait_ms=" + std::to_string(wait.count());
    call.deadline = options_.read_wait + options_.read_timeout;
    client_.send(std::move(call), [done = std::move(done)](const http_outcome& outcome) {
        done(decode_read_reply(outcome));
    });
}

}  // namespace baobabrack
