#ifndef BAOBABRACK_CTL_COMMAND_HPP
#define BAOBABRACK_CTL_COMMAND_HPP

#include <functional>
#include <memory>
#include <vector>

#include "baobabrack/ctl/exit_code.hpp"

namespace CLI {  // NOLINT(readability-identifier-naming)
class App;
}

namespace baobabrack::ctl {

class command_context;

/// A group of commands of baobabrackctl, such as `ticket apply` and `ticket show`.
class command_group {
public:
    command_group() = default;
    command_group(const command_group&) = delete;
    command_group& operator=(const command_group&) = delete;
    virtual ~command_group() = default;

    /// Adds the group's commands with their options.
    virtual void add_to(CLI::App& app) = 0;

    /// Runs the command of this group that was parsed.
    ///
    /// @param context what it works with
    /// @param code    how it ended, if one was
    /// @return whether one was parsed
    virtual bool run(command_context& context, exit_code& code) = 0;
};

/// One parsed subcommand and what it does.
struct subcommand {
    CLI::App* parser;
    std::function<exit_code(command_context&)> run;
};

/// @return whether one of them was parsed, which was run then
bool run_parsed_command(const std::vector<subcommand>& commands, command_context& context,
                        exit_code& code);

/// @return every group
std::vector<std::unique_ptr<command_group>> create_command_groups();

}  // namespace baobabrack::ctl

#endif
