#include "standin/target_endpoint.hpp"

#include <algorithm>

#include "standin/route.hpp"

namespace baobabrack::standin {

namespace {

constexpr std::size_t control_segments = 4;
constexpr duration idle_check_interval = std::chrono::milliseconds{50};
// Entries stop sending to a target within this time after it announces that it is leaving.
constexpr duration leaving_notice = std::chrono::seconds{2};

}  // namespace

target_endpoint::target_endpoint(event_runtime& loop, options opts,
                                 const std::vector<target_config>& configs)
    : loop_(loop),
      options_(std::move(opts)),
      client_(loop, {}),
      timer_(loop),
      leaving_timer_(loop) {
    for (const auto& config : configs) {
        targets_.emplace(config.announcement.target(),
                         std::make_unique<target>(loop, config, options_.run_output));
    }
    announce();
}

bool target_endpoint::handle(const http_request& request, const http_responder& responder) {
    const auto& segments = request.segments;
    if (request.path == "/control/targets") {
        wire::StandinTargetStates states;
        for (const auto& [id, served] : targets_) {
            *states.add_items() = served->state();
        }
        responder.respond(json_answer(states));
        return true;
    }
    if (segments.size() != control_segments || segments[0] != "control" ||
        segments[1] != "targets") {
        return false;
    }
    const auto found = targets_.find(segments[2]);
    responder.respond(found == targets_.end()
                          ? text_answer(404, "target " + segments[2] + " is not served here")
                          : control(*found->second, request));
    return true;
}

http_response target_endpoint::control(target& selected, const http_request& request) {
    const auto& action = request.segments[3];
    if (action == "ran" && request.method == "GET") {
        return json_answer(selected.ran());
    }
    if (request.method != "POST") {
        return text_answer(405, "use POST");
    }
    if (action == "leave") {
        selected.leave();
    } else if (action == "return") {
        selected.rejoin();
    } else if (!selected.set_mode(action)) {
        return text_answer(404,
                           "actions are leave, return, ordinary, slow, stall, black-hole, refuse, "
                           "truncate and cross");
    }
    send(selected.next_announcement());
    return text_answer(200, action + " " + selected.id());
}

void target_endpoint::announce() {
    for (const auto& [id, served] : targets_) {
        send(served->next_announcement());
    }
    timer_.arm(options_.announce_interval, [this] { announce(); });
}

void target_endpoint::send(const wire::TargetAnnouncement& announcement) {
    for (const auto& entry : options_.announce_to) {
        http_call call;
        call.to = entry;
        call.path = "/v1/announcements";
        call.headers = {{"Content-Type", "application/x-protobuf"}};
        call.body = announcement.SerializeAsString();
        call.deadline = options_.announce_interval;
        // A lost announcement needs no retry: the next one follows after announce_interval.
        client_.send(std::move(call), [](const http_outcome&) {});
    }
}

void target_endpoint::leave_all(std::function<void()> done) {
    if (on_left_) {
        return;
    }
    on_left_ = std::move(done);
    for (const auto& [id, served] : targets_) {
        served->leave();
    }
    announce();
    const auto notice = targets_.empty() ? duration::zero() : leaving_notice;
    leaving_timer_.arm(notice, [this] { wait_until_idle(); });
}

void target_endpoint::wait_until_idle() {
    const bool idle = std::all_of(targets_.begin(), targets_.end(),
                                  [](const auto& served) { return served.second->idle(); });
    if (idle) {
        on_left_();
        return;
    }
    leaving_timer_.arm(idle_check_interval, [this] { wait_until_idle(); });
}

}  // namespace baobabrack::standin
