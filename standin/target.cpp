#include "standin/target.hpp"

#include <algorithm>
#include <array>
#include <ostream>
#include <utility>

#include "standin/route.hpp"

namespace baobabrack::standin {

namespace {

constexpr int slow_factor = 10;
constexpr std::size_t default_connections = 64;
constexpr std::size_t truncated_bytes = 10;
constexpr std::uint64_t default_stall_ms = 60'000;

constexpr std::array<std::pair<target_mode, const char*>, 7> modes{{
    {target_mode::ordinary, "ordinary"},
    {target_mode::slow, "slow"},
    {target_mode::stall, "stall"},
    {target_mode::black_hole, "black-hole"},
    {target_mode::refuse, "refuse"},
    {target_mode::truncate, "truncate"},
    {target_mode::cross, "cross"},
}};

http_server::options server_options(const wire::TargetAnnouncement& facts) {
    http_server::options options;
    options.host = facts.host();
    options.port = static_cast<std::uint16_t>(facts.port());
    options.max_connections = facts.connections() == 0 ? default_connections : facts.connections();
    return options;
}

std::uint64_t new_incarnation(const event_runtime& loop) {
    return static_cast<std::uint64_t>(loop.wall_now().time_since_epoch().count());
}

http_response not_run_answer(const http_request& request, const std::string& reason) {
    auto answer = text_answer(503, reason);
    answer.headers.push_back({"X-Ran", "no"});
    answer.headers.push_back({"X-Request-Id", std::string{request.header("X-Request-Id")}});
    return answer;
}

}  // namespace

std::string to_string(target_mode mode) {
    for (const auto& [candidate, name] : modes) {
        if (candidate == mode) {
            return name;
        }
    }
    return "ordinary";
}

target::target(event_runtime& loop, const target_config& config, std::ostream* run_output)
    : loop_(loop),
      announcement_(config.announcement),
      work_time_(config.work_time),
      run_output_(run_output),
      server_(loop, server_options(config.announcement), *this) {
    announcement_.set_port(server_.port());
    announcement_.set_incarnation(new_incarnation(loop));
}

void target::handle(http_request request, http_responder responder) {
    const bool busy = announcement_.slots() > 0 && announcement_.running() >= announcement_.slots();
    if (busy || mode_ == target_mode::refuse) {
        ++refused_;
        responder.respond(not_run_answer(request, busy ? "every slot is taken" : "refused"));
        return;
    }
    if (mode_ == target_mode::black_hole) {
        ++refused_;
        auto answer = text_answer(500, "broken");
        answer.headers.push_back({"X-Request-Id", std::string{request.header("X-Request-Id")}});
        responder.respond(answer);
        return;
    }
    const int index = ran_.items_size();
    auto& run = *ran_.add_items();
    run.set_request_id(std::string{request.header("X-Request-Id")});
    run.set_key(std::string{request.header("Idempotency-Key")});
    run.set_workspace(request.segments.empty() ? "" : request.segments[0]);
    run.set_request_class(request.segments.size() < 2 ? "" : request.segments[1]);
    run.set_claim_token(parse_number(request.header("X-Claim-Token"), 0));
    print_run(run);
    announcement_.set_running(announcement_.running() + 1);
    loop_.schedule(work_time_for(request),
                   [this, request, responder, index] { finish(request, responder, index); });
}

// The line is flushed so that it is not lost if the process is killed.
void target::print_run(const wire::RanRequest& run) {
    if (run_output_ == nullptr) {
        return;
    }
    const auto& key = run.key().empty() ? "-" : run.key();
    *run_output_ << "ran " << key << " " << run.request_id() << " " << run.workspace() << " "
                 << run.request_class() << std::endl;
}

void target::finish(const http_request& request, const http_responder& responder, int index) {
    ran_.mutable_items(index)->set_completed(true);
    if (mode_ == target_mode::stall) {
        // Occupies its slot, without an answer, until the deadline of the request has passed.
        const auto remaining_ms = parse_number(request.header("X-Deadline-Ms"), default_stall_ms);
        loop_.schedule(std::chrono::milliseconds{remaining_ms}, [this, responder] {
            announcement_.set_running(announcement_.running() - 1);
        });
        return;
    }
    announcement_.set_running(announcement_.running() - 1);
    responder.respond(make_answer(request));
    last_request_id_ = request.header("X-Request-Id");
}

duration target::work_time_for(const http_request& request) const {
    const auto requested_ms = parse_number(request.header("X-Work-Ms"), UINT64_MAX);
    const auto work_time =
        requested_ms == UINT64_MAX ? work_time_ : duration{std::chrono::milliseconds{requested_ms}};
    return mode_ == target_mode::slow ? work_time * slow_factor : work_time;
}

http_response target::make_answer(const http_request& request) const {
    std::string request_id{request.header("X-Request-Id")};
    auto answer = text_answer(200, "done by " + id() + ": " + request.body);
    if (mode_ == target_mode::cross) {
        request_id = last_request_id_.empty() ? request_id + "-other" : last_request_id_;
    }
    if (mode_ == target_mode::truncate) {
        const auto announced = answer.body.size() + truncated_bytes;
        answer.headers.push_back({"Content-Length", std::to_string(announced)});
        answer.headers.push_back({"Connection", "close"});
    }
    answer.headers.push_back({"X-Request-Id", request_id});
    return answer;
}

wire::TargetAnnouncement target::next_announcement() {
    announcement_.set_sequence(announcement_.sequence() + 1);
    return announcement_;
}

void target::rejoin() {
    const auto next = std::max(new_incarnation(loop_), announcement_.incarnation() + 1);
    announcement_.set_incarnation(next);
    announcement_.set_sequence(0);
    announcement_.set_leaving(false);
    mode_ = target_mode::ordinary;
}

bool target::set_mode(const std::string& mode) {
    for (const auto& [candidate, name] : modes) {
        if (mode == name) {
            mode_ = candidate;
            return true;
        }
    }
    return false;
}

wire::StandinTargetState target::state() const {
    wire::StandinTargetState state;
    *state.mutable_announcement() = announcement_;
    state.set_mode(to_string(mode_));
    state.set_ran(static_cast<std::uint64_t>(ran_.items_size()));
    state.set_refused(refused_);
    return state;
}

}  // namespace baobabrack::standin
