#include "baobabrack/ctl/why_command.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>
#include <sstream>

#include "baobabrack/ctl/command_context.hpp"

namespace baobabrack::ctl {

namespace {

const std::set<std::string> common_fields{"time", "level", "role", "id", "event", "job"};

std::string string_field(const nlohmann::json& record, const char* name) {
    const auto found = record.find(name);
    return found != record.end() && found->is_string() ? found->get<std::string>() : "";
}

bool refers_to(const nlohmann::json& record, const std::string& job) {
    return string_field(record, "job") == job || string_field(record, "key").ends_with("/" + job);
}

job_event to_job_event(const nlohmann::json& record) {
    job_event event{.time = string_field(record, "time"),
                    .process = string_field(record, "id"),
                    .name = string_field(record, "event"),
                    .fields = {}};
    for (const auto& [name, value] : record.items()) {
        if (!common_fields.contains(name)) {
            const auto text = value.is_string() ? value.get<std::string>() : value.dump();
            event.fields.push_back(name + " " + text);
        }
    }
    return event;
}

}  // namespace

std::vector<job_event> read_job_events(const std::vector<std::string>& log_texts,
                                       const std::string& job) {
    std::vector<job_event> events;
    for (const auto& text : log_texts) {
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            const auto begin = line.find('{');
            if (begin == std::string::npos) {
                continue;
            }
            const auto record = nlohmann::json::parse(line.substr(begin), nullptr, false);
            if (record.is_object() && refers_to(record, job)) {
                events.push_back(to_job_event(record));
            }
        }
    }
    std::stable_sort(
        events.begin(), events.end(),
        [](const job_event& left, const job_event& right) { return left.time < right.time; });
    return events;
}

void why_command::add_to(CLI::App& app) {
    auto* why = app.add_subcommand("why", "Print the events of a job from collected log files");
    why->add_option("JOB", job_, "Id of the job")->required();
    why->add_option("--log", files_, "Log file (repeatable); - is standard input")
        ->required()
        ->allow_extra_args(true);
    commands_ = {{why, [this](command_context& context) { return print_events(context); }}};
}

bool why_command::run(command_context& context, exit_code& code) {
    return run_parsed_command(commands_, context, code);
}

exit_code why_command::print_events(command_context& context) const {
    std::vector<std::string> log_texts;
    for (const auto& path : files_) {
        auto text = read_file(path);
        if (!text) {
            context.error() << text.error() << "\n";
            return exit_code::usage;
        }
        log_texts.push_back(std::move(text.value()));
    }
    const auto events = read_job_events(log_texts, job_);
    for (const auto& event : events) {
        context.out() << event.time << "  " << event.process << "  " << event.name;
        const char* separator = ": ";
        for (const auto& field : event.fields) {
            context.out() << separator << field;
            separator = ", ";
        }
        context.out() << "\n";
    }
    if (events.empty()) {
        context.error() << "no log line refers to job " << job_
                        << " (collect the logs of all schedulers for the time of the job)\n";
        return exit_code::refused;
    }
    return exit_code::ok;
}

}  // namespace baobabrack::ctl
