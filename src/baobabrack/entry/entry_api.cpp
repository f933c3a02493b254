#include "baobabrack/entry/entry_api.hpp"

#include <utility>

#include "baobabrack/codec/strict_json.hpp"
#include "baobabrack/entry/problem.hpp"
#include "baobabrack/entry/request_codec.hpp"
#include "baobabrack/entry/views.hpp"
#include "baobabrack/ledger/ticket_json.hpp"
#include "baobabrack/metrics/registry.hpp"
#include "baobabrack/node/entry_node.hpp"
#include "baobabrack/runtime/runtime.hpp"

namespace baobabrack {

namespace {

using namespace std::chrono_literals;

// How long a call that writes a record to the log waits for this entry to apply it.
constexpr duration record_timeout = 10s;

failure no_such_path(const http_request& request) {
    return {failure_kind::not_found, "nothing is at " + request.method + " " + request.path,
            "see docs/api.md for the paths there are"};
}

failure not_ready() {
    return {failure_kind::unavailable, "this entry does not know the state yet, or is draining",
            "send to another entry, or try again in a second"};
}

/// @return whether the request has this method and this number of path segments
bool matches(const http_request& request, std::string_view method, std::size_t parts) {
    return request.method == method && request.segments.size() == parts;
}

/// @return whether the path is open without an operator's token: sending requests, managing jobs
///         and announcing targets
bool is_caller_path(const http_request& request) {
    const auto& parts = request.segments;
    if (parts.size() >= 4 && parts[1] == "workspaces") {
        return true;
    }
    return parts.size() == 2 && parts[1] == "announcements";
}

}  // namespace

entry_api::entry_api(entry_node& node, runtime& loop, metrics_registry& metrics,
                     wire::AdministrationSettings administration)
    : node_(node), loop_(loop), metrics_(metrics), authorization_(std::move(administration)) {
}

void entry_api::handle(http_request request, http_responder responder) {
    const auto& parts = request.segments;
    if (parts.empty() || parts[0] != "v1") {
        show_health(request, responder);
        return;
    }
    if (!is_caller_path(request)) {
        if (const auto allowed = authorization_.authenticate(request.header("Authorization"));
            !allowed) {
            responder.respond(problem_response(allowed.error()));
            return;
        }
    }
    if (parts.size() >= 4 && parts[1] == "workspaces") {
        handle_workspace(request, responder);
    } else if (parts.size() >= 3 && parts[1] == "tickets") {
        handle_ticket(request, responder);
    } else if (matches(request, "POST", 2) && parts[1] == "announcements") {
        announce(request, responder);
    } else {
        show_resource(request, responder);
    }
}

void entry_api::handle_workspace(const http_request& request, const http_responder& responder) {
    const auto& parts = request.segments;
    if (parts[3] == "requests" && matches(request, "POST", 5)) {
        send_request(request, responder);
    } else if (parts[3] == "jobs") {
        handle_jobs(request, responder);
    } else {
        responder.respond(problem_response(no_such_path(request)));
    }
}

void entry_api::send_request(const http_request& request, const http_responder& responder) {
    if (!node_.state().ready()) {
        responder.respond(problem_response(not_ready()));
        return;
    }
    node_.requests().submit(to_caller_request(request), [responder](caller_answer answer) {
        responder.respond(to_response(std::move(answer)));
    });
}

void entry_api::handle_jobs(const http_request& request, const http_responder& responder) {
    if (matches(request, "POST", 4)) {
        submit_job(request, responder);
    } else if (matches(request, "GET", 4)) {
        const auto match = node_.tickets().in_force().match_workspace(request.segments[2]);
        const workspace_id workspace{match ? match->workspace->id() : request.segments[2]};
        responder.respond(json_response(200, view_jobs(node_, workspace)));
    } else if (request.segments.size() == 5) {
        handle_job(request, responder);
    } else {
        responder.respond(problem_response(no_such_path(request)));
    }
}

void entry_api::handle_job(const http_request& request, const http_responder& responder) {
    const job_id id{request.segments[4]};
    if (request.method == "DELETE") {
        cancel_job(id, request, responder);
    } else if (request.method == "GET") {
        show_job(id, responder);
    } else {
        responder.respond(problem_response(no_such_path(request)));
    }
}

void entry_api::submit_job(const http_request& request, const http_responder& responder) {
    if (!node_.ready()) {
        responder.respond(problem_response(not_ready()));
        return;
    }
    wire::JobSpec spec;
    auto problems = parse_strict_json(request.body, spec);
    const auto& word = request.segments[2];
    const auto match = node_.tickets().in_force().match_workspace(word);
    if (!match) {
        const auto nearest = node_.tickets().in_force().nearest_workspace(word);
        responder.respond(problem_response(failure{
            failure_kind::not_found, "no workspace is called \"" + word + "\"",
            nearest.empty() ? "apply a ticket that has it" : "did you mean \"" + nearest + "\"?"}));
        return;
    }
    spec.set_workspace(match->workspace->id());
    if (problems.empty()) {
        problems = check_job(spec);
    }
    if (!problems.empty()) {
        responder.respond(problem_response(
            failure{failure_kind::invalid, "the job is not valid", "correct every error named"},
            problems));
        return;
    }
    const job_id id{spec.id()};
    node_.gangs().submit(spec, record_timeout,
                         [this, id, responder](const result<record_position>& recorded) {
                             if (!recorded) {
                                 responder.respond(problem_response(recorded.error()));
                                 return;
                             }
                             show_job(id, responder);
                         });
}

void entry_api::show_job(const job_id& id, const http_responder& responder) {
    const auto description = node_.gangs().describe(id);
    if (!description) {
        responder.respond(problem_response(
            failure{failure_kind::not_found, "no job is called \"" + id.get() + "\"",
                    "list the workspace's jobs; ended ones are kept for a limited time"}));
        return;
    }
    responder.respond(json_response(200, view_job(*description)));
}

void entry_api::cancel_job(const job_id& id, const http_request& request,
                           const http_responder& responder) {
    const auto reason_parameter = request.parameter("reason");
    const std::string reason =
        reason_parameter.empty() ? "cancelled by the caller" : std::string(reason_parameter);
    node_.gangs().cancel(id, reason, record_timeout,
                         [this, id, responder](const result<record_position>& recorded) {
                             if (!recorded) {
                                 responder.respond(problem_response(recorded.error()));
                                 return;
                             }
                             show_job(id, responder);
                         });
}

void entry_api::handle_ticket(const http_request& request, const http_responder& responder) {
    const auto& parts = request.segments;
    const ticket_number number{parse_number(parts[2], 0)};
    if (matches(request, "PUT", 3)) {
        apply_ticket(request, responder);
    } else if (matches(request, "GET", 3)) {
        show_ticket(number, responder);
    } else if (matches(request, "POST", 4) && parts[3] == "diff") {
        diff_ticket(request, responder);
    } else if (matches(request, "GET", 4) && parts[3] == "status") {
        responder.respond(json_response(200, view_ticket_status(node_, number, loop_.now())));
    } else {
        responder.respond(problem_response(no_such_path(request)));
    }
}

void entry_api::apply_ticket(const http_request& request, const http_responder& responder) {
    if (!node_.ready()) {
        responder.respond(problem_response(not_ready()));
        return;
    }
    auto ticket = read_ticket(request);
    if (!ticket.problems.empty()) {
        responder.respond(
            problem_response(failure{failure_kind::invalid, "the ticket cannot be read",
                                     "correct every error named"},
                             ticket.problems));
        return;
    }
    const auto caller = authorization_.authenticate(request.header("Authorization"));
    const ticket_number number{ticket.ticket.number()};
    node_.submitter().submit(
        ticket.ticket, caller.value(), record_timeout,
        [this, number, responder](const ticket_submitter::outcome& outcome) {
            if (!outcome.position) {
                responder.respond(problem_response(outcome.position.error(), outcome.problems));
                return;
            }
            responder.respond(json_response(200, view_ticket_status(node_, number, loop_.now())));
        });
}

void entry_api::show_ticket(ticket_number number, const http_responder& responder) {
    const auto list = view_tickets(node_);
    for (const auto& view : list.items()) {
        if (view.number() == number.get()) {
            responder.respond(json_response(200, view));
            return;
        }
    }
    responder.respond(
        problem_response(failure{failure_kind::not_found, "no ticket of this number was accepted",
                                 "list the tickets, or apply it"}));
}

void entry_api::diff_ticket(const http_request& request, const http_responder& responder) {
    auto ticket = read_ticket(request);
    if (ticket.problems.empty()) {
        ticket.problems = node_.submitter().check(ticket.ticket);
    }
    if (!ticket.problems.empty()) {
        responder.respond(problem_response(
            failure{failure_kind::invalid, "the ticket is not valid", "correct every error named"},
            ticket.problems));
        return;
    }
    responder.respond(json_response(200, view_diff(node_.submitter().diff(ticket.ticket))));
}

void entry_api::announce(const http_request& request, const http_responder& responder) {
    wire::TargetAnnouncement announcement;
    if (!announcement.ParseFromString(request.body) || announcement.target().empty()) {
        responder.respond(problem_response(
            failure{failure_kind::invalid, "the body is not an announcement",
                    "send a TargetAnnouncement of proto/baobabrack/platform.proto"}));
        return;
    }
    node_.handle_target_announcement(announcement);
    responder.respond({.status = 204});
}

void entry_api::show_resource(const http_request& request, const http_responder& responder) {
    const std::string resource = matches(request, "GET", 2) ? request.segments[1] : "";
    if (resource == "workspaces") {
        responder.respond(json_response(200, view_workspaces(node_)));
    } else if (resource == "workers") {
        responder.respond(json_response(200, view_workers(node_)));
    } else if (resource == "targets") {
        responder.respond(json_response(200, view_targets(node_, loop_.now())));
    } else if (resource == "jobs") {
        responder.respond(json_response(200, view_jobs(node_, workspace_id{})));
    } else if (resource == "tickets") {
        responder.respond(json_response(200, view_tickets(node_)));
    } else if (resource == "confused") {
        responder.respond(json_response(200, view_confused(node_)));
    } else if (resource == "status") {
        responder.respond(json_response(
            200, view_status(node_, loop_.now(), request.parameter("digest") == "1")));
    } else {
        responder.respond(problem_response(no_such_path(request)));
    }
}

void entry_api::show_health(const http_request& request, const http_responder& responder) {
    if (request.path == "/healthz") {
        responder.respond({.status = 200, .body = "alive\n"});
    } else if (request.path == "/readyz") {
        responder.respond(node_.ready() ? http_response{.status = 200, .body = "ready\n"}
                                        : problem_response(not_ready()));
    } else if (request.path == "/metrics") {
        responder.respond({.status = 200,
                           .headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                           .body = metrics_.render()});
    } else {
        responder.respond(problem_response(no_such_path(request)));
    }
}

}  // namespace baobabrack
