#include "standin/stand_in.hpp"

#include <algorithm>
#include <stdexcept>

#include "standin/route.hpp"

namespace baobabrack::standin {

namespace {

bool is_selected(const std::vector<std::string>& only, const std::string& part) {
    return only.empty() || std::find(only.begin(), only.end(), part) != only.end();
}

services parse_or_throw(const std::string& text, const http_endpoint& default_endpoint) {
    auto parsed = parse_services(text, default_endpoint);
    if (!parsed) {
        throw std::runtime_error(parsed.error().message + " (" + parsed.error().remedy + ")");
    }
    return parsed.value();
}

}  // namespace

stand_in::stand_in(event_runtime& loop, const options& opts)
    : server_(loop, {.host = opts.listen.host, .port = opts.listen.port}, *this) {
    const auto configured =
        parse_or_throw(opts.services, {.host = opts.listen.host, .port = server_.port()});
    if (is_selected(opts.only, "log")) {
        log_ = std::make_unique<log_endpoint>(loop, configured.log);
    }
    worker_endpoint::options workers{.usage_lag = configured.usage_lag,
                                     .listed = configured.workers};
    for (const auto& facts : configured.workers) {
        if (is_selected(opts.only, "workers") ||
            is_selected(opts.only, "worker:" + facts.worker())) {
            workers.served.push_back(facts);
        }
    }
    workers_ = std::make_unique<worker_endpoint>(loop, workers);
    std::vector<target_config> targets;
    for (const auto& config : configured.targets) {
        const auto part = "target:" + config.announcement.target();
        if (is_selected(opts.only, "targets") || is_selected(opts.only, part)) {
            targets.push_back(config);
        }
    }
    targets_ = std::make_unique<target_endpoint>(
        loop,
        target_endpoint::options{.announce_to = configured.announce_to,
                                 .announce_interval = configured.announce_interval,
                                 .run_output = opts.run_output},
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
