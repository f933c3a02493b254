#include "standin/log_endpoint.hpp"

#include "baobabrack/platform.pb.h"
#include "standin/route.hpp"

namespace baobabrack::standin {

namespace {

constexpr std::size_t max_entries = 1000;
constexpr std::uint64_t unset = UINT64_MAX;

int to_status(failure_kind kind) {
    switch (kind) {
        case failure_kind::expired:
            return 410;
        case failure_kind::exhausted:
            return 429;
        case failure_kind::unavailable:
            return 503;
        default:
            return 504;
    }
}

http_response error_answer(const failure& error, std::uint64_t oldest) {
    auto answer = text_answer(to_status(error.kind), error.message);
    answer.headers.push_back({"X-Oldest", std::to_string(oldest)});
    return answer;
}

wire::ReadReply to_wire(const log_page& page) {
    wire::ReadReply reply;
    reply.set_oldest(page.oldest.get());
    reply.set_end(page.end.get());
    for (const auto& entry : page.entries) {
        auto& added = *reply.add_entries();
        added.set_offset(entry.offset.get());
        added.set_payload(entry.payload);
    }
    return reply;
}

}  // namespace

log_endpoint::log_endpoint(runtime& loop, const wire::StandinLog& settings)
    : log_(loop,
           {.retention = settings.retention_records(), .append_limit = settings.append_limit()}) {
}

bool log_endpoint::handle(const http_request& request, const http_responder& responder) {
    if (request.path == "/log/append" && request.method == "POST") {
        append(request, responder);
        return true;
    }
    if (request.path == "/log/read" && request.method == "GET") {
        read(request, responder);
        return true;
    }
    if (request.path == "/control/log") {
        control(request);
        wire::StandinLogState state;
        state.set_oldest(log_.oldest());
        state.set_end(log_.end());
        state.set_down(down_);
        responder.respond(json_answer(state));
        return true;
    }
    return false;
}

void log_endpoint::append(const http_request& request, const http_responder& responder) {
    log_.append(request.body, [this, responder](const result<log_offset>& offset) {
        if (!offset) {
            responder.respond(error_answer(offset.error(), log_.oldest()));
            return;
        }
        wire::AppendReply reply;
        reply.set_offset(offset.value().get());
        responder.respond(binary_answer(reply));
    });
}

void log_endpoint::read(const http_request& request, const http_responder& responder) {
    const log_offset from{parse_number(request.parameter("from"), 0)};
    const auto requested = parse_number(request.parameter("most"), max_entries);
    log_.read(from, std::min<std::uint64_t>(requested, max_entries),
              [this, responder](const result<log_page>& page) {
                  responder.respond(page ? binary_answer(to_wire(page.value()))
                                         : error_answer(page.error(), log_.oldest()));
              });
}

void log_endpoint::control(const http_request& request) {
    if (request.method != "POST") {
        return;
    }
    if (const auto down = request.parameter("down"); !down.empty()) {
        down_ = down == "true";
        log_.set_down(down_);
    }
    if (const auto extra_delay_ms = parse_number(request.parameter("slow_ms"), unset);
        extra_delay_ms != unset) {
        log_.set_extra_delay(std::chrono::milliseconds{extra_delay_ms});
    }
    if (const auto lost_answers = parse_number(request.parameter("lose_answers"), unset);
        lost_answers != unset) {
        log_.lose_append_answers(lost_answers);
    }
    if (const auto kept_entries = parse_number(request.parameter("keep_last"), unset);
        kept_entries != unset) {
        log_.keep_last(kept_entries);
    }
}

}  // namespace baobabrack::standin
