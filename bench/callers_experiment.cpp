#include "callers_experiment.hpp"

#include <google/protobuf/util/json_util.h>

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>

#include "baobabrack/api.pb.h"

namespace baobabrack::bench {

namespace {

constexpr std::uint32_t most_attempts = 4;
constexpr duration grace = std::chrono::seconds{1};
constexpr duration before_resending = std::chrono::milliseconds{100};

bool is_success(int status) {
    return status >= 200 && status < 300;
}

std::string ran_of(const http_response& response) {
    if (is_success(response.status)) {
        return "yes";
    }
    wire::Problem problem;
    google::protobuf::util::JsonParseOptions options;
    options.ignore_unknown_fields = true;
    const bool read =
        google::protobuf::util::JsonStringToMessage(response.body, &problem, options).ok();
    return read && !problem.ran().empty() ? problem.ran() : "unknown";
}

}  // namespace

CLI::App* callers_experiment::add_to(CLI::App& app) {
    auto* command = app.add_subcommand(
        "callers", "Keyed requests at a fixed rate; notes what callers are told");
    command->add_option("--entry", entries_, "HOST:PORT of an entry (repeatable)")->required();
    command->add_option("--workspace", workspace_, "Workspace of the requests")->required();
    command->add_option("--class", class_, "Class of the requests")->required();
    command->add_option("--log", log_path_, "File for a line a request: KEY STATUS RAN ATTEMPTS")
        ->required();
    command->add_option("--rate", rate_, "Requests a second")->capture_default_str();
    command->add_option("--seconds", seconds_, "How long requests start")->capture_default_str();
    command->add_option("--deadline-ms", deadline_ms_, "Of each attempt")->capture_default_str();
    command->add_option("--work-ms", work_ms_, "Of each request")->capture_default_str();
    command->add_option("--seed", seed_, "Seed of the keys")->capture_default_str();
    return command;
}

int callers_experiment::run() {
    for (const auto& text : entries_) {
        endpoints_.push_back(parse_endpoint(text).value());
    }
    loop_ = std::make_unique<event_runtime>(seed_);
    client_ = std::make_unique<http_client>(*loop_, http_client::options{});
    log_.open(log_path_);
    start_next();
    loop_->run();
    std::cout << "{\"experiment\": \"callers\", \"requests\": " << started_
              << ", \"resent\": " << resent_;
    for (const auto& [ran, count] : told_) {
        std::cout << ", \"told_" << ran << "\": " << count;
    }
    std::cout << "}\n";
    return 0;
}

void callers_experiment::start_next() {
    if (started_ == std::uint64_t{rate_} * seconds_) {
        if (open_ == 0) {
            loop_->stop();
        }
        return;
    }
    auto one = std::make_shared<request>();
    one->key = std::to_string(loop_->wall_now().time_since_epoch().count()) + "-" +
               std::to_string(seed_) + "-" + std::to_string(started_);
    one->entry = started_ % endpoints_.size();
    ++started_;
    ++open_;
    send(one);
    loop_->schedule(duration{std::chrono::seconds{1}} / rate_, [this] { start_next(); });
}

void callers_experiment::send(const std::shared_ptr<request>& one) {
    ++one->attempts;
    client_->send(call_of(*one), [this, one](const http_outcome& outcome) { take(one, outcome); });
}

void callers_experiment::take(const std::shared_ptr<request>& one, const http_outcome& outcome) {
    one->went_out = one->went_out || outcome.completion != http_completion::not_sent;
    if (outcome.completion == http_completion::answered) {
        note(*one, {.status = outcome.response.status, .ran = ran_of(outcome.response)});
        return;
    }
    if (one->attempts == most_attempts) {
        note(*one, {.status = 0, .ran = one->went_out ? "unknown" : "no"});
        return;
    }
    ++resent_;
    one->entry = (one->entry + 1) % endpoints_.size();
    loop_->schedule(before_resending, [this, one] { send(one); });
}

void callers_experiment::note(const request& one, const verdict& told) {
    log_ << one.key << " " << told.status << " " << told.ran << " " << one.attempts << "\n";
    ++told_[told.ran];
    --open_;
    if (open_ == 0 && started_ == std::uint64_t{rate_} * seconds_) {
        loop_->stop();
    }
}

http_call callers_experiment::call_of(const request& one) const {
    http_call call;
    call.to = endpoints_[one.entry];
    call.path =
        "/v1/workspaces/" + percent_encode(workspace_) + "/requests/" + percent_encode(class_);
    call.headers = {{"Idempotency-Key", one.key},
                    {"X-Deadline-Ms", std::to_string(deadline_ms_)},
                    {"X-Attempt", std::to_string(one.attempts - 1)},
                    {"X-Work-Ms", std::to_string(work_ms_)}};
    call.body = one.key;
    call.deadline = std::chrono::milliseconds{deadline_ms_} + grace;
    // The key makes a second delivery harmless.
    call.idempotent = true;
    return call;
}

}  // namespace baobabrack::bench
