#include "baobabrack/ctl/list_commands.hpp"

#include <CLI/CLI.hpp>
#include <nlohmann/json.hpp>
#include <ostream>

#include "baobabrack/api.pb.h"
#include "baobabrack/ctl/command_context.hpp"
#include "baobabrack/ctl/table.hpp"

namespace baobabrack::ctl {

namespace {

constexpr auto retry_hint = "repeat the command; it is read-only";

std::string format_location(const wire::Location& location) {
    auto text = location.region() + "/" + location.data_centre();
    return location.rack().empty() ? text : text + "/" + location.rack();
}

std::string format_ratio(std::uint32_t value, std::uint32_t total) {
    return std::to_string(value) + "/" + std::to_string(total);
}

exit_code list_workspaces(command_context& context) {
    const auto outcome = context.client().call({.method = "GET", .path = "/v1/workspaces"});
    return context.print_response<wire::WorkspaceList>(
        outcome, retry_hint, [&](const wire::WorkspaceList& list) {
            table rows{
                {"WORKSPACE", "NAME", "SERVICE", "TICKET", "ACCELERATORS", "RUNNING", "WAITING"}};
            for (const auto& item : list.items()) {
                const auto& workspace = item.workspace();
                const auto quota = workspace.accelerator_quota();
                const auto used = item.accelerators_in_use();
                rows.add_row({workspace.id(), workspace.name(), workspace.service(),
                              std::to_string(item.ticket()),
                              quota == 0 ? std::to_string(used) : format_ratio(used, quota),
                              std::to_string(item.jobs_running()),
                              std::to_string(item.jobs_waiting())});
            }
            rows.write(context.out(), "There are no workspaces; apply a ticket that has some.");
        });
}

exit_code list_workers(command_context& context) {
    const auto outcome = context.client().call({.method = "GET", .path = "/v1/workers"});
    return context.print_response<
        wire::WorkerViewList>(outcome, retry_hint, [&](const wire::WorkerViewList& list) {
        table rows{{"WORKER", "PLACE", "FREE ACCELERATORS", "FREE MILLICORES", "FREE MIB", "JOBS"}};
        for (const auto& item : list.items()) {
            std::string jobs;
            for (const auto& job : item.jobs()) {
                jobs += (jobs.empty() ? "" : " ") + job;
            }
            const auto& free = item.free();
            const auto& capacity = item.capacity();
            rows.add_row({item.id(), format_location(item.location()),
                          format_ratio(free.accelerators(), capacity.accelerators()),
                          format_ratio(free.cpu_millicores(), capacity.cpu_millicores()),
                          format_ratio(free.memory_mib(), capacity.memory_mib()),
                          jobs.empty() ? "-" : jobs});
        }
        rows.write(context.out(), "There are no workers; check the platform's inventory.");
    });
}

exit_code list_targets(command_context& context) {
    const auto outcome = context.client().call({.method = "GET", .path = "/v1/targets"});
    return context.print_response<wire::TargetViewList>(
        outcome, retry_hint, [&](const wire::TargetViewList& list) {
            table rows{{"TARGET", "SERVICE", "PLACE", "RUNNING", "STATE", "SILENT", "GUARD"}};
            for (const auto& item : list.items()) {
                const auto& announcement = item.announcement();
                const auto* state = announcement.leaving() ? "leaving"
                                    : item.accepts_work()  ? "in service"
                                                           : "out of service";
                rows.add_row({announcement.target(), announcement.service(),
                              format_location(announcement.location()),
                              format_ratio(announcement.running(), announcement.slots()), state,
                              std::to_string(item.silent_ms()) + " ms",
                              item.guard().empty() ? "-" : item.guard()});
            }
            rows.write(context.out(), "No target has announced itself.");
        });
}

exit_code list_confused(command_context& context) {
    const auto outcome = context.client().call({.method = "GET", .path = "/v1/confused"});
    return context.print_response<wire::ConfusedList>(
        outcome, retry_hint, [&](const wire::ConfusedList& list) {
            table rows{{"CALLED", "REGION", "REQUESTS", "FORMER NAME OF", "NEAREST"}};
            for (const auto& item : list.items()) {
                rows.add_row({item.word(), item.region().empty() ? "-" : item.region(),
                              std::to_string(item.requests()),
                              item.workspace().empty() ? "-" : item.workspace(),
                              item.nearest().empty() ? "-" : item.nearest()});
            }
            rows.write(context.out(), "Nobody has used an unknown or former name.");
        });
}

exit_code show_status(command_context& context) {
    const auto outcome = context.client().call({.method = "GET", .path = "/v1/status"});
    return context.print_response<wire::StatusView>(
        outcome, retry_hint, [&](const wire::StatusView& status) {
            const auto* log_state = status.log_healthy() ? "answers" : "does not answer";
            context.out() << "Entry " << status.id() << " " << status.version() << ": "
                          << (status.ready() ? "ready" : "not ready")
                          << (status.draining() ? ", draining" : "") << "\n"
                          << "Log " << log_state << "; replica " << status.replica()
                          << " at offset " << status.next_offset() << ", ticket "
                          << status.ticket_in_force() << "\n"
                          << status.workers() << " workers, " << status.targets() << " targets, "
                          << status.jobs_live() << " live jobs, " << status.requests_in_flight()
                          << " requests in flight\n";
            if (!status.trouble().empty()) {
                context.out() << "Trouble: " << status.trouble() << "\n";
            }
            table rows{{"PROCESS", "ROLE", "STATE", "TICKET", "OFFSET", "SILENT"}};
            for (const auto& process : status.processes()) {
                const auto* state = !process.alive()     ? "silent"
                                    : process.draining() ? "draining"
                                                         : "alive";
                rows.add_row({process.id(), process.role(), state,
                              std::to_string(process.ticket_in_force()),
                              std::to_string(process.next_offset()),
                              std::to_string(process.silent_ms()) + " ms"});
            }
            rows.write(context.out(), "No other process is known.");
        });
}

exit_code show_clients(command_context& context) {
    const auto outcome = context.client().call({.method = "GET", .path = "/clients"});
    if (!outcome.succeeded()) {
        return context.report_failure(outcome, retry_hint);
    }
    const auto document = nlohmann::json::parse(outcome.response.body, nullptr, false);
    if (!document.is_object()) {
        return context.report_unreadable_response();
    }
    if (context.json()) {
        context.print_body(outcome.response.body);
        return exit_code::ok;
    }
    try {
        table held{{"CLIENT", "BYTES", "REQUESTS"}};
        for (const auto& [address, amounts] : document.at("clients").items()) {
            held.add_row({address, std::to_string(amounts.value("bytes", std::uint64_t{0})),
                          std::to_string(amounts.value("requests", std::uint64_t{0}))});
        }
        held.write(context.out(), "No client holds bytes or requests.");
        table limited{{"CAUSE", "EVENTS", "LAST CLIENT"}};
        for (const auto& [cause, entry] : document.at("limited").items()) {
            const auto total = entry.at("total").get<std::uint64_t>();
            if (total > 0) {
                limited.add_row(
                    {cause, std::to_string(total), entry.at("last_address").get<std::string>()});
            }
        }
        limited.write(context.out(), "No client has been limited.");
    } catch (const nlohmann::json::exception&) {
        return context.report_unreadable_response();
    }
    return exit_code::ok;
}

CLI::App* add_list_command(CLI::App& app, const char* group, const char* group_help,
                           const char* command_help) {
    auto* parent = app.add_subcommand(group, group_help);
    parent->require_subcommand(1);
    return parent->add_subcommand("list", command_help);
}

}  // namespace

void list_commands::add_to(CLI::App& app) {
    commands_ = {
        {add_list_command(app, "workspace", "Workspaces", "List workspaces and their usage"),
         list_workspaces},
        {add_list_command(app, "worker", "Workers", "List workers and their free capacity"),
         list_workers},
        {add_list_command(app, "target", "Targets", "List targets and their last announcement"),
         list_targets},
        {app.add_subcommand("confused", "List unknown and former names that callers used"),
         list_confused},
        {app.add_subcommand("clients",
                            "Show clients at the limits; --entry is the metrics address of a "
                            "scheduler or worker guard"),
         show_clients},
        {app.add_subcommand("status",
                            "Show the state of the entry and of the processes known to it"),
         show_status},
    };
}

bool list_commands::run(command_context& context, exit_code& code) {
    return run_parsed_command(commands_, context, code);
}

}  // namespace baobabrack::ctl
