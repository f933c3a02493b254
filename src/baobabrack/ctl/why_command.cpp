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

std::string text_of(const nlohmann::json& record, const char* name) {
    const auto found = record.find(name);
    return found != record.end() && found->is_string() ? found->get<std::string>() : "";
}

bool is_about(const nlohmann::json& record, const std::string& job) {
    return text_of(record, "job") == job || text_of(record, "key").ends_with("/" + job);
}

story_line to_story_line(const nlohmann::json& record) {
    story_line line{.time = text_of(record, "time"),
                    .process = text_of(record, "id"),
                    .event = text_of(record, "event"),
                    .fields = {}};
    for (const auto& [name, value] : record.items()) {
        if (!common_fields.contains(name)) {
            const auto text = value.is_string() ? value.get<std::string>() : value.dump();
            line.fields.push_back(name + " " + text);
        }
    }
    return line;
}

}  // namespace

std::vector<story_line> read_story(const std::vector<std::string>& texts, const std::string& job) {
    std::vector<story_line> story;
    for (const auto& text : texts) {
        std::istringstream lines(text);
        for (std::string line; std::getline(lines, line);) {
            const auto begin = line.find('{');
            if (begin == std::string::npos) {
                continue;
            }
            const auto record = nlohmann::json::parse(line.substr(begin), nullptr, false);
            if (record.is_object() && is_about(record, job)) {
                story.push_back(to_story_line(record));
            }
        }
    }
    std::stable_sort(
        story.begin(), story.end(),
        [](const story_line& left, const story_line& right) { return left.time < right.time; });
    return story;
}

void why_command::add_to(CLI::App& app) {
    auto* why = app.add_subcommand("why", "Tell what happened to a job, from collected log files");
    why->add_option("JOB", job_, "Id of the job")->required();
    why->add_option("--log", files_, "Log file (repeatable); - is standard input")
        ->required()
        ->allow_extra_args(true);
    commands_ = {{why, [this](command_context& context) { return tell(context); }}};
}

bool why_command::run(command_context& context, exit_code& code) {
    return run_parsed(commands_, context, code);
}

exit_code why_command::tell(command_context& context) const {
    std::vector<std::string> texts;
    for (const auto& path : files_) {
        auto text = read_file(path);
        if (!text) {
            context.error() << text.error() << "\n";
            return exit_code::usage;
        }
        texts.push_back(std::move(text.value()));
    }
    const auto story = read_story(texts, job_);
    for (const auto& line : story) {
        context.out() << line.time << "  " << line.process << "  " << line.event;
        const char* separator = ": ";
        for (const auto& field : line.fields) {
            context.out() << separator << field;
            separator = ", ";
        }
        context.out() << "\n";
    }
    if (story.empty()) {
        context.error() << "no line is about job " << job_
                        << " (collect the logs of all schedulers for the time of the call)\n";
        return exit_code::refused;
    }
    return exit_code::ok;
}

}  // namespace baobabrack::ctl
