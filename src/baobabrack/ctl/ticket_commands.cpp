#include "baobabrack/ctl/ticket_commands.hpp"

#include <CLI/CLI.hpp>
#include <ostream>

#include "baobabrack/api.pb.h"
#include "baobabrack/codec/strict_json.hpp"
#include "baobabrack/ctl/command_context.hpp"
#include "baobabrack/ctl/table.hpp"

namespace baobabrack::ctl {

namespace {

constexpr auto status_hint =
    "check whether the ticket was accepted with: baobabrackctl ticket status ";
constexpr auto retry_hint = "repeat the command; it is read-only";

std::string ticket_path(std::uint64_t number) {
    return "/v1/tickets/" + std::to_string(number);
}

api_request document_request(const std::string& method, const std::string& path,
                             const std::string& document) {
    api_request request;
    request.method = method;
    request.path = path;
    request.headers = {{"Content-Type", "application/json"}};
    request.body = document;
    return request;
}

// The text of a ticket file and the ticket number for the request path. The entry validates the
// other fields.
struct ticket_document {
    std::string text;
    std::uint64_t number = 0;
};

result<ticket_document> read_ticket_file(const std::string& path) {
    auto text = read_file(path);
    if (!text) {
        return text.error();
    }
    wire::Ticket ticket;
    const auto problems = parse_strict_json(text.value(), ticket);
    if (!problems.empty()) {
        return failure{failure_kind::invalid, describe(problems), "correct the errors in " + path};
    }
    return ticket_document{.text = text.value(), .number = ticket.number()};
}

exit_code report_file_error(command_context& context, const failure& error) {
    context.error() << error << "\n";
    return exit_code::usage;
}

void write_diff(std::ostream& out, const wire::TicketDiff& diff) {
    table rows{{"KIND", "ID", "CHANGE", "PRESENT TICKET", "FIELDS"}};
    for (const auto& item : diff.items()) {
        std::string fields;
        for (const auto& field : item.fields()) {
            fields += (fields.empty() ? "" : ", ") + field;
        }
        const auto present_ticket = item.present_ticket();
        rows.add_row({item.kind(), item.id(), item.change(),
                      present_ticket == 0 ? "-" : std::to_string(present_ticket), fields});
    }
    rows.write(out, "The ticket would change nothing.");
}

void write_status(std::ostream& out, const wire::TicketStatus& status) {
    if (!status.accepted()) {
        out << "Ticket " << status.number() << " has not been accepted.\n";
        return;
    }
    table rows{{"PROCESS", "ROLE", "IN FORCE", "TICKET"}};
    for (const auto& process : status.in_force()) {
        rows.add_row(
            {process.id(), process.role(), "yes", std::to_string(process.ticket_in_force())});
    }
    for (const auto& process : status.not_in_force()) {
        rows.add_row({process.id(), process.role(), process.alive() ? "no" : "no answer",
                      std::to_string(process.ticket_in_force())});
    }
    rows.write(out, "Ticket " + std::to_string(status.number()) +
                        " has been accepted; no process has reported it yet.");
}

}  // namespace

void ticket_commands::add_to(CLI::App& app) {
    auto* group = app.add_subcommand("ticket", "Manage tickets, numbered configuration changes");
    group->require_subcommand(1);
    auto* apply = group->add_subcommand("apply", "Apply a ticket");
    apply->add_option("FILE", file_, "JSON file of the ticket; - is standard input")->required();
    auto* show = group->add_subcommand("show", "Show an accepted ticket");
    show->add_option("NUMBER", number_, "Number of the ticket")->required();
    auto* diff =
        group->add_subcommand("diff", "Show what a ticket would change, without applying it");
    diff->add_option("FILE", file_, "JSON file of the ticket; - is standard input")->required();
    auto* status =
        group->add_subcommand("status", "Show the processes in which a ticket is in force");
    status->add_option("NUMBER", number_, "Number of the ticket")->required();
    commands_ = {
        {apply, [this](command_context& context) { return this->apply(context); }},
        {show, [this](command_context& context) { return this->show(context); }},
        {diff, [this](command_context& context) { return this->diff(context); }},
        {status, [this](command_context& context) { return this->status(context); }},
    };
}

bool ticket_commands::run(command_context& context, exit_code& code) {
    return run_parsed_command(commands_, context, code);
}

exit_code ticket_commands::apply(command_context& context) const {
    const auto document = read_ticket_file(file_);
    if (!document) {
        return report_file_error(context, document.error());
    }
    const auto& text = document.value().text;
    const auto number = document.value().number;
    const auto diff_outcome =
        context.client().call(document_request("POST", ticket_path(number) + "/diff", text));
    wire::TicketDiff diff;
    const bool unchanged = diff_outcome.succeeded() &&
                           command_context::parse_body(diff_outcome.response, diff) &&
                           diff.items().empty();
    auto request = document_request("PUT", ticket_path(number), text);
    request.retryable = false;
    return context.print_response<wire::TicketStatus>(
        context.client().call(request), status_hint + std::to_string(number),
        [&](const wire::TicketStatus& status) {
            context.out() << "Ticket " << number << " has been accepted"
                          << (unchanged ? "; it changes nothing.\n" : ".\n");
            write_status(context.out(), status);
        });
}

exit_code ticket_commands::show(command_context& context) const {
    const auto outcome = context.client().call({.method = "GET", .path = ticket_path(number_)});
    return context.print_response<wire::TicketView>(
        outcome, retry_hint, [&](const wire::TicketView& view) {
            std::string touched_objects;
            for (const auto& object : view.touched()) {
                touched_objects += (touched_objects.empty() ? "" : ", ") + object;
            }
            table rows{{"NUMBER", "OPERATOR", "OFFSET", "TOUCHED", "NOTE"}};
            rows.add_row({std::to_string(view.number()), view.operator_(),
                          std::to_string(view.offset()), touched_objects, view.note()});
            rows.write(context.out(), "");
        });
}

exit_code ticket_commands::diff(command_context& context) const {
    const auto document = read_ticket_file(file_);
    if (!document) {
        return report_file_error(context, document.error());
    }
    const auto& text = document.value().text;
    const auto number = document.value().number;
    const auto outcome =
        context.client().call(document_request("POST", ticket_path(number) + "/diff", text));
    return context.print_response<wire::TicketDiff>(
        outcome, retry_hint,
        [&](const wire::TicketDiff& diff) { write_diff(context.out(), diff); });
}

exit_code ticket_commands::status(command_context& context) const {
    const auto outcome =
        context.client().call({.method = "GET", .path = ticket_path(number_) + "/status"});
    return context.print_response<wire::TicketStatus>(
        outcome, retry_hint,
        [&](const wire::TicketStatus& status) { write_status(context.out(), status); });
}

}  // namespace baobabrack::ctl
