#include "baobabrack/ctl/program.hpp"

#include <CLI/CLI.hpp>
#include <ostream>

#include "baobabrack/ctl/api_client.hpp"
#include "baobabrack/ctl/command.hpp"
#include "baobabrack/ctl/command_context.hpp"
#include "baobabrack/ctl/completion.hpp"

namespace baobabrack::ctl {

namespace {

constexpr auto footer = R"(Examples:
  baobabrackctl --entry 127.0.0.1:7300 ticket apply ticket-1.json
  baobabrackctl --entry 127.0.0.1:7300 --entry 127.0.0.1:7301 job watch halls fitting-1
  baobabrackctl request send counter tine --new-key --body italic
  baobabrackctl --output json worker list
  source <(baobabrackctl completion bash)

Exit codes: 0 success; 1 refused, or the watched job failed; 2 usage error; 3 no entry can be
reached, nothing was done; 4 unknown: the request may have taken effect, and the message says how
to check.)";

struct global_options {
    std::vector<std::string> entries{"127.0.0.1:7300"};
    std::string token;
    std::string output = "table";
    std::string shell;
};

CLI::App* add_global_options(CLI::App& app, global_options& globals) {
    app.set_version_flag("--version", BAOBABRACK_VERSION);
    app.footer(footer);
    app.require_subcommand(1);
    app.fallthrough();
    app.add_option("--entry", globals.entries, "HOST:PORT of an entry (repeatable; tried in order)")
        ->envname("BAOBABRACK_ENTRY")
        ->delimiter(',')
        ->allow_extra_args(false)
        ->capture_default_str();
    app.add_option("--token", globals.token, "Authentication token of the operator")
        ->envname("BAOBABRACK_TOKEN");
    app.add_option("--output", globals.output, "Output format")
        ->check(CLI::IsMember({"table", "json"}))
        ->capture_default_str();
    auto* completion = app.add_subcommand("completion", "Print a shell completion script");
    completion->add_option("SHELL", globals.shell, "Name of the shell")
        ->required()
        ->check(CLI::IsMember({"bash"}));
    return completion;
}

result<api_client::options> make_client_options(const global_options& globals) {
    api_client::options options;
    options.token = globals.token;
    for (const auto& text : globals.entries) {
        auto entry = parse_endpoint(text);
        if (!entry) {
            return entry.error();
        }
        options.entries.push_back(entry.value());
    }
    return options;
}

// CLI11 expects a vector of arguments in reverse order.
void parse_arguments(CLI::App& app, std::vector<std::string> arguments) {
    std::reverse(arguments.begin(), arguments.end());
    app.parse(arguments);
}

exit_code run_command(const std::vector<std::unique_ptr<command_group>>& groups,
                      command_context& context) {
    auto code = exit_code::usage;
    for (const auto& group : groups) {
        if (group->run(context, code)) {
            return code;
        }
    }
    return code;
}

}  // namespace

exit_code run_program(const std::vector<std::string>& arguments, std::ostream& out,
                      std::ostream& error) {
    CLI::App app{"Command line client of baobabrack: tickets, requests, jobs and cluster state.",
                 "baobabrackctl"};
    global_options globals;
    const auto* completion = add_global_options(app, globals);
    const auto groups = create_command_groups();
    for (const auto& group : groups) {
        group->add_to(app);
    }
    try {
        parse_arguments(app, arguments);
    } catch (const CLI::ParseError& parse_error) {
        return app.exit(parse_error, out, error) == 0 ? exit_code::ok : exit_code::usage;
    }
    if (completion->parsed()) {
        out << bash_completion(app);
        return exit_code::ok;
    }
    const auto options = make_client_options(globals);
    if (!options) {
        error << options.error() << "\n";
        return exit_code::usage;
    }
    api_client client{options.value()};
    command_context context{client, globals.output == "json", out, error};
    return run_command(groups, context);
}

}  // namespace baobabrack::ctl
