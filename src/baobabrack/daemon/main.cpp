#include <google/protobuf/stubs/logging.h>

#include <CLI/CLI.hpp>
#include <iostream>
#include <stdexcept>

#include "baobabrack/daemon/entry_program.hpp"
#include "baobabrack/daemon/guard_program.hpp"
#include "baobabrack/daemon/scheduler_program.hpp"
#include "baobabrack/daemon/worker_guard_program.hpp"
#include "baobabrack/observe/json_log.hpp"
#include "baobabrack/settings/settings.hpp"

namespace {

using namespace baobabrack;

constexpr int exit_failure = 1;
constexpr int exit_usage = 2;

constexpr const char* footer = R"(Examples:
  baobabrackd --print-defaults entry > entry.json
  baobabrackd --settings entry.json --check
  baobabrackd --settings entry.json

Exit codes: 0 drained, 1 failed or did not drain in time, 2 invalid settings or usage.)";

struct command_line {
    std::string settings_file;
    std::string defaults_role;
    bool check = false;
    /// If not zero, these replace the limits in the settings of a scheduler.
    std::uint64_t store_record_bytes = 0;
    std::uint64_t store_request_bytes = 0;
};

log_level parse_log_level(const std::string& name) {
    if (name == "warning") {
        return log_level::warning;
    }
    return name == "error" ? log_level::error : log_level::info;
}

std::string role_name(const wire::Settings& settings) {
    switch (settings.role_case()) {
        case wire::Settings::kEntry:
            return "entry";
        case wire::Settings::kGuard:
            return "guard";
        case wire::Settings::kScheduler:
            return "scheduler";
        case wire::Settings::kWorkerGuard:
            return "worker-guard";
        case wire::Settings::ROLE_NOT_SET:
            break;
    }
    return "none";
}

int run_role(const wire::Settings& settings, const std::string& file) {
    switch (settings.role_case()) {
        case wire::Settings::kEntry:
            return run_entry(settings);
        case wire::Settings::kGuard:
            return run_guard(settings);
        case wire::Settings::kScheduler:
            return run_scheduler(settings);
        case wire::Settings::kWorkerGuard:
            return run_worker_guard(settings, file);
        case wire::Settings::ROLE_NOT_SET:
            break;
    }
    return exit_usage;
}

int run(const wire::Settings& settings, const std::string& file) {
    const json_logging logging({.program = "baobabrackd",
                                .role = role_name(settings),
                                .id = settings.id(),
                                .min_level = parse_log_level(settings.log_level())});
    // Protobuf logs invalid UTF-8 to standard error, which a peer could flood with such messages.
    google::protobuf::SetLogHandler(nullptr);
    try {
        return run_role(settings, file);
    } catch (const std::runtime_error& error) {
        log_event(log_level::error, "start-failed").field("error", error.what());
        return exit_failure;
    }
}

int run(const command_line& command) {
    if (!command.defaults_role.empty()) {
        std::cout << print_json(default_settings(command.defaults_role));
        return 0;
    }
    auto parsed = read_settings_file(command.settings_file);
    if (!parsed.problems.empty()) {
        std::cerr << describe(parsed.problems);
        return exit_usage;
    }
    if (command.check) {
        std::cout << command.settings_file << ": settings are valid; nothing was started\n";
        return 0;
    }
    if (parsed.settings.has_scheduler() && command.store_record_bytes > 0) {
        parsed.settings.mutable_scheduler()->set_store_record_bytes(command.store_record_bytes);
    }
    if (parsed.settings.has_scheduler() && command.store_request_bytes > 0) {
        parsed.settings.mutable_scheduler()->set_store_request_bytes(command.store_request_bytes);
    }
    return run(parsed.settings, command.settings_file);
}

}  // namespace

int main(int argc, char** argv) {
    CLI::App app{"The baobabrack daemon: runs an entry, a guard, a scheduler or a worker guard."};
    app.footer(footer);
    app.set_version_flag("--version", BAOBABRACK_VERSION);
    command_line command;
    auto* settings = app.add_option("--settings", command.settings_file, "JSON settings file")
                         ->envname("BAOBABRACK_CONFIG");
    auto* defaults = app.add_option("--print-defaults", command.defaults_role,
                                    "print the default settings of a role");
    app.add_option("--store-record-bytes", command.store_record_bytes,
                   "what the store takes in one record; scheduler only")
        ->envname("BAOBABRACK_STORE_RECORD_BYTES");
    app.add_option("--store-request-bytes", command.store_request_bytes,
                   "what the store takes in one append; scheduler only")
        ->envname("BAOBABRACK_STORE_REQUEST_BYTES");
    defaults->check(CLI::IsMember({"entry", "guard"}));
    app.add_flag("--check", command.check, "check the settings and exit")->needs(settings);
    try {
        app.parse(argc, argv);
        if (settings->empty() && defaults->empty()) {
            throw CLI::RequiredError("--settings or --print-defaults");
        }
    } catch (const CLI::ParseError& error) {
        return app.exit(error) == 0 ? 0 : exit_usage;
    }
    return run(command);
}
