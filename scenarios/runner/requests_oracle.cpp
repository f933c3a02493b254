#include "runner/requests_oracle.hpp"

#include <algorithm>

namespace baobabrack::scenario {

namespace {

using namespace std::chrono_literals;

// A target gets nothing new this long after it announced that it leaves.
constexpr duration leaving_limit = 2s;

std::uint32_t attempt_of(const target_request& request) {
    for (const auto& header : request.headers) {
        if (header.name == requests_oracle::attempt_header) {
            return static_cast<std::uint32_t>(std::stoul(header.value));
        }
    }
    return 0;
}

}  // namespace

void requests_oracle::broke(const std::string& what) {
    if (violation_.empty()) {
        violation_ = what + " at " + std::to_string(loop_.now().time_since_epoch().count()) + " us";
    }
}

void requests_oracle::ran(const fakes::fake_target& target, const target_request& request) {
    const target_id id{target.facts.target()};
    if (const auto found = leaving_.find(id);
        found != leaving_.end() && loop_.now() > found->second + leaving_limit) {
        broke("work for " + id.get() + " long after it announced leaving");
    }
    auto& known = requests_[request.body];
    const auto attempt = attempt_of(request);
    known.lowest_run_attempt =
        known.runs == 0 ? attempt : std::min(known.lowest_run_attempt, attempt);
    ++known.runs;
    if (request.claim && known.runs > 1) {
        broke("key " + request.body + " ran twice");
    }
    check(request.body, known);
}

void requests_oracle::check(const std::string& body, const history& known) {
    if (known.runs > 0 && known.told_not_run && known.lowest_run_attempt <= known.not_run_up_to) {
        broke("request " + body + " ran, but a caller was told that it did not");
    }
}

void requests_oracle::answered(const std::string& body, std::uint32_t attempt, bool idempotent,
                               const caller_answer& answer) {
    ++answers_;
    if (const auto* whole = std::get_if<whole_answer>(&answer)) {
        if (whole->body != "answer to " + body) {
            broke("request " + body + " got \"" + whole->body + "\"");
        }
        if (requests_[body].runs == 0) {
            broke("request " + body + " was answered without having run");
        }
        return;
    }
    const auto& refused = std::get<refusal>(answer);
    ++refusals_[std::string(to_string(refused.reason)) + "/" + std::string(to_string(refused.ran))];
    auto& known = requests_[body];
    if (refused.ran == ran_state::yes && known.runs == 0) {
        broke("request " + body + " did not run, but a caller was told that it did");
    }
    if (refused.ran != ran_state::no) {
        return;
    }
    known.told_not_run = true;
    known.not_run_up_to = std::max(known.not_run_up_to, idempotent ? 0 : attempt);
    check(body, known);
}

void requests_oracle::check_limits(fakes::fake_targets& targets) {
    for (const auto& [id, target] : targets.all()) {
        if (!target.facts.guard_endpoint().empty()) {
            continue;
        }
        if (target.running > target.facts.slots()) {
            broke(id.get() + " runs " + std::to_string(target.running) + " requests at once");
        }
        if (target.connections > target.facts.connections()) {
            broke(id.get() + " has " + std::to_string(target.connections) + " connections");
        }
    }
}

}  // namespace baobabrack::scenario
