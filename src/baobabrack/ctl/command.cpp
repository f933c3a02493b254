#include "baobabrack/ctl/command.hpp"

#include <CLI/CLI.hpp>

#include "baobabrack/ctl/job_commands.hpp"
#include "baobabrack/ctl/list_commands.hpp"
#include "baobabrack/ctl/losses_command.hpp"
#include "baobabrack/ctl/request_commands.hpp"
#include "baobabrack/ctl/ticket_commands.hpp"
#include "baobabrack/ctl/why_command.hpp"

namespace baobabrack::ctl {

bool run_parsed_command(const std::vector<subcommand>& commands, command_context& context,
                        exit_code& code) {
    for (const auto& command : commands) {
        if (command.parser->parsed()) {
            code = command.run(context);
            return true;
        }
    }
    return false;
}

std::vector<std::unique_ptr<command_group>> create_command_groups() {
    std::vector<std::unique_ptr<command_group>> groups;
    groups.push_back(std::make_unique<ticket_commands>());
    groups.push_back(std::make_unique<request_commands>());
    groups.push_back(std::make_unique<job_commands>());
    groups.push_back(std::make_unique<list_commands>());
    groups.push_back(std::make_unique<why_command>());
    groups.push_back(std::make_unique<losses_command>());
    return groups;
}

}  // namespace baobabrack::ctl
