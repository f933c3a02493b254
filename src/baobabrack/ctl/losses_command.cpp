#include "baobabrack/ctl/losses_command.hpp"

#include <CLI/CLI.hpp>
#include <array>
#include <cstdio>
#include <nlohmann/json.hpp>
#include <ostream>
#include <sstream>

#include "baobabrack/ctl/command_context.hpp"
#include "baobabrack/ctl/table.hpp"

namespace baobabrack::ctl {

namespace {

constexpr auto no_leader_text =
    "the logs have no lines of a leader (collect the logs of all schedulers for the same time)";

std::string format_seconds(double seconds) {
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%.1f", seconds);
    return text.data();
}

double span_seconds(const losses_report& report) {
    return std::chrono::duration<double>(report.last - report.first).count();
}

void write_job_counts(std::ostream& out, const char* title,
                      const std::map<std::string, job_counts>& counts) {
    table rows{{title, "ACCEPTED", "ENDED", "WITHIN OBJECTIVE", "VERY LATE", "WAITING"}};
    for (const auto& [name, row] : counts) {
        rows.add_row({name.empty() ? "-" : name, std::to_string(row.accepted),
                      std::to_string(row.ended), std::to_string(row.within_objective),
                      std::to_string(row.very_late), std::to_string(row.waiting)});
    }
    out << "\n";
    rows.write(out, "No job was accepted.");
}

void write_note(std::ostream& out, std::uint64_t count, const char* text) {
    if (count > 0) {
        out << count << " " << text << "\n";
    }
}

nlohmann::json job_counts_json(const std::map<std::string, job_counts>& counts) {
    auto rows = nlohmann::json::array();
    for (const auto& [name, row] : counts) {
        rows.push_back({{"name", name},
                        {"accepted", row.accepted},
                        {"ended", row.ended},
                        {"within_objective", row.within_objective},
                        {"very_late", row.very_late},
                        {"waiting", row.waiting}});
    }
    return rows;
}

}  // namespace

void write_tables(std::ostream& out, const losses_report& report) {
    out << "Logs of " << format_seconds(span_seconds(report)) << " s\n\n";
    table waiting{{"WAITING FOR", "REASON", "TASK-SECONDS", "ACCELERATOR-SECONDS"}};
    for (const auto& [cause, row] : report.waiting) {
        waiting.add_row(
            {std::string{to_string(cause.first)}, cause.second.empty() ? "-" : cause.second,
             format_seconds(row.task_seconds), format_seconds(row.accelerator_seconds)});
    }
    waiting.write(out, "No task waited.");
    out << "\n";
    table lost{{"LOST WORK", "RUNS", "RUN SECONDS", "CORE-SECONDS", "SAVED RUN SECONDS",
                "SAVED CORE-SECONDS"}};
    for (const auto& [cause, row] : report.lost) {
        lost.add_row({std::string{workload::to_string(cause)}, std::to_string(row.runs),
                      format_seconds(row.run_seconds), format_seconds(row.core_seconds),
                      format_seconds(row.saved_run_seconds),
                      format_seconds(row.saved_core_seconds)});
    }
    lost.write(out, "No work was lost.");
    write_job_counts(out, "QUEUE", report.queues);
    write_job_counts(out, "WORKSPACE", report.workspaces);
    out << "\n";
    const auto& missing = report.missing;
    write_note(out, missing.jobs_without_needs, "jobs have no line job-submitted");
    write_note(out, missing.runs_without_needs,
               "runs have no line job-submitted; their waits and core-seconds are not counted");
    write_note(out, missing.runs_without_start,
               "runs have no line of their start; their wait for the order is not counted, and "
               "their run time begins with the assignment");
    write_note(out, missing.runs_without_saved_time,
               "lost runs with checkpoints have no record of what was preserved; all of their run "
               "time counts as lost");
    write_note(out, missing.runs_without_ready_time,
               "runs have no line that tells when their task could run; no wait is counted");
}

std::string to_json(const losses_report& report) {
    auto waiting = nlohmann::json::array();
    for (const auto& [cause, row] : report.waiting) {
        waiting.push_back({{"cause", to_string(cause.first)},
                           {"reason", cause.second},
                           {"task_seconds", row.task_seconds},
                           {"accelerator_seconds", row.accelerator_seconds}});
    }
    auto lost = nlohmann::json::array();
    for (const auto& [cause, row] : report.lost) {
        lost.push_back({{"cause", workload::to_string(cause)},
                        {"runs", row.runs},
                        {"run_seconds", row.run_seconds},
                        {"core_seconds", row.core_seconds},
                        {"saved_run_seconds", row.saved_run_seconds},
                        {"saved_core_seconds", row.saved_core_seconds}});
    }
    const auto& missing = report.missing;
    const nlohmann::json object{{"span_seconds", span_seconds(report)},
                                {"has_leader_lines", report.has_leader_lines},
                                {"waiting", std::move(waiting)},
                                {"lost_work", std::move(lost)},
                                {"queues", job_counts_json(report.queues)},
                                {"workspaces", job_counts_json(report.workspaces)},
                                {"missing",
                                 {{"jobs_without_needs", missing.jobs_without_needs},
                                  {"runs_without_needs", missing.runs_without_needs},
                                  {"runs_without_start", missing.runs_without_start},
                                  {"runs_without_saved_time", missing.runs_without_saved_time},
                                  {"runs_without_ready_time", missing.runs_without_ready_time}}}};
    return object.dump(2, ' ', false, nlohmann::json::error_handler_t::replace);
}

void losses_command::add_to(CLI::App& app) {
    auto* losses = app.add_subcommand(
        "losses", "Print lost time and lost work by cause from collected log files");
    losses->add_option("--log", files_, "Log file (repeatable); - is standard input")
        ->required()
        ->allow_extra_args(true);
    losses->add_flag("--json", json_, "Print JSON instead of tables");
    commands_ = {{losses, [this](command_context& context) { return print_losses(context); }}};
}

bool losses_command::run(command_context& context, exit_code& code) {
    return run_parsed_command(commands_, context, code);
}

exit_code losses_command::print_losses(command_context& context) const {
    std::vector<log_record> records;
    for (const auto& path : files_) {
        auto text = read_file(path);
        if (!text) {
            context.error() << text.error() << "\n";
            return exit_code::usage;
        }
        std::istringstream lines(std::move(text.value()));
        for (std::string line; std::getline(lines, line);) {
            if (auto record = parse_log_line(line)) {
                records.push_back(std::move(*record));
            }
        }
    }
    const auto report = analyse_losses(std::move(records));
    if (json_ || context.json()) {
        context.print_body(to_json(report));
    } else if (report.has_leader_lines) {
        write_tables(context.out(), report);
    }
    if (!report.has_leader_lines) {
        context.error() << no_leader_text << "\n";
        return exit_code::refused;
    }
    return exit_code::ok;
}

}  // namespace baobabrack::ctl
