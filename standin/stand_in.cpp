#include "standin/stand_in.hpp"

#include <algorithm>
#include <stdexcept>

#include "standin/route.hpp"

namespace baobabrack::standin {

namespace {

bool is_chosen(const std::vector<std::string>& only, const std::string& part) {
    return only.empty() || std::find(only.begin(), only.end(), part) != only.end();
}

services read_or_throw(const std::string& text, const http_endpoint& own) {
    auto read = read_services(text, own);
    if (!read) {
        throw std::runtime_error(read.error().message + " (" + read.error().remedy + ")");
    }
    return read.value();
}

}  // namespace

stand_in::stand_in(event_runtime& loop, const options& opts)
    : server_(loop, {.host = opts.listen.host, .port = opts.listen.port}, *this) {
    const auto all =
        read_or_throw(opts.services, {.host = opts.listen.host, .port = server_.port()});
    if (is_chosen(opts.only, "log")) {
        log_ = std::make_unique<log_endpoint>(loop, all.log);
    }
    worker_endpoint::options workers{.usage_lag = all.usage_lag, .listed = all.workers};
    for (const auto& facts : all.workers) {
        if (is_chosen(opts.only, "workers") || is_chosen(opts.only, "worker:" + facts.worker())) {
            workers.served.push_back(facts);
        }
    }
    workers_ = std::make_unique<worker_endpoint>(loop, workers);
    std::vector<target_plan> targets;
    for (const auto& plan : all.targets) {
        const auto part = "target:" + plan.announcement.target();
        if (is_chosen(opts.only, "targets") || is_chosen(opts.only, part)) {
            targets.push_back(plan);
        }
    }
    targets_ = std::make_unique<target_endpoint>(
        loop,
        target_endpoint::options{.announce_to = all.announce_to,
                                 .announce_interval = all.announce_interval,
                                 .runs = opts.runs},
        targets);
}

void stand_in::handle(http_request request, http_responder responder) {
    if (request.path == "/healthz") {
        responder.respond(text_answer(200, "ok"));
        return;
    }
    if (log_ && log_->handle(request, responder)) {
        return;
    }
    if (workers_->handle(request, responder) || targets_->handle(request, responder)) {
        return;
    }
    responder.respond(text_answer(404, "no such path; docs/stand-in.md lists them"));
}

}  // namespace baobabrack::standin
