#include "standin/worker_endpoint.hpp"

#include <xxhash.h>

#include <algorithm>

#include "standin/route.hpp"

namespace baobabrack::standin {

namespace {

constexpr std::size_t call_segments = 3;
constexpr std::size_t control_segments = 4;
constexpr std::uint64_t default_pause_ms = 1000;

fakes::fake_workers::options worker_options(duration usage_lag) {
    fakes::fake_workers::options options;
    options.min_delay = duration::zero();
    options.max_delay = duration{1};
    options.worker.usage_lag = usage_lag;
    return options;
}

http_response not_served(const worker_id& id) {
    return text_answer(404, "worker " + id.get() + " is not served here");
}

// Answers 304 without a body if the If-None-Match header shows that the caller has this body.
http_response with_etag(const http_request& request, http_response answer) {
    const auto hash = XXH3_64bits(answer.body.data(), answer.body.size());
    const auto etag = "\"" + std::to_string(hash) + "\"";
    if (request.header("If-None-Match") == etag) {
        return {.status = 304};
    }
    answer.headers.push_back({"ETag", etag});
    return answer;
}

}  // namespace

worker_endpoint::worker_endpoint(runtime& loop, const options& opts)
    : workers_(loop, worker_options(opts.usage_lag)) {
    for (const auto& facts : opts.served) {
        workers_.add(facts);
    }
    for (const auto& facts : opts.listed) {
        if (workers_.find(worker_id{facts.worker()}) == nullptr) {
            remote_workers_.push_back(facts);
        }
    }
}

bool worker_endpoint::handle(const http_request& request, const http_responder& responder) {
    const auto& segments = request.segments;
    if (request.path == "/workers" && request.method == "GET") {
        responder.respond(with_etag(request, binary_answer(inventory())));
        return true;
    }
    if (request.path == "/control/workers") {
        responder.respond(json_answer(states()));
        return true;
    }
    if (matches(request, "POST", "workers") && segments.size() == call_segments) {
        call(worker_id{segments[1]}, request, responder);
        return true;
    }
    if (matches(request, "POST", "control") && segments.size() == control_segments &&
        segments[1] == "workers") {
        responder.respond(control(worker_id{segments[2]}, request));
        return true;
    }
    return false;
}

void worker_endpoint::call(const worker_id& id, const http_request& request,
                           const http_responder& responder) {
    wire::WorkerCall parsed;
    if (!parsed.ParseFromString(request.body)) {
        responder.respond(text_answer(400, "the body is no WorkerCall"));
        return;
    }
    workers_.call(id, parsed, [responder](const result<wire::WorkerReply>& reply) {
        if (reply) {
            responder.respond(binary_answer(reply.value()));
            return;
        }
        const bool unreachable = reply.error().kind == failure_kind::unavailable;
        responder.respond(text_answer(unreachable ? 503 : 504, reply.error().message));
    });
}

http_response worker_endpoint::control(const worker_id& id, const http_request& request) {
    const auto names = workers_.names();
    if (std::find(names.begin(), names.end(), id) == names.end()) {
        return not_served(id);
    }
    const auto& action = request.segments[3];
    if (action == "kill") {
        workers_.kill(id);
    } else if (action == "replace") {
        workers_.replace(id);
    } else if (action == "forget") {
        workers_.forget(id);
    } else if (action == "pause") {
        const auto pause_ms = parse_number(request.parameter("ms"), default_pause_ms);
        workers_.pause(id, std::chrono::milliseconds{pause_ms});
    } else if (action == "fail" || action == "mend") {
        auto* worker = workers_.find(id);
        if (worker == nullptr) {
            return text_answer(409, "worker " + id.get() + " is dead; replace it first");
        }
        worker->set_fail_all_tasks(action == "fail");
    } else {
        return text_answer(404, "actions are kill, replace, forget, pause, fail and mend");
    }
    return text_answer(200, action + " " + id.get());
}

wire::WorkerList worker_endpoint::inventory() const {
    auto list = workers_.list();
    for (const auto& facts : remote_workers_) {
        *list.add_workers() = facts;
    }
    return list;
}

wire::StandinWorkerStates worker_endpoint::states() const {
    wire::StandinWorkerStates states;
    const auto listed = workers_.list();
    for (const auto& facts : listed.workers()) {
        auto& state = *states.add_items();
        *state.mutable_facts() = facts;
        const auto found = workers_.alive().find(worker_id{facts.worker()});
        if (found == workers_.alive().end()) {
            continue;
        }
        state.set_alive(true);
        state.set_paused(found->second->paused());
        for (const auto& task : found->second->held()) {
            auto& held = *state.add_held();
            held.set_job(task.job.get());
            held.set_attempt(task.attempt.get());
        }
    }
    return states;
}

}  // namespace baobabrack::standin
