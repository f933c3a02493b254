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

/// A group of baobabrackctl commands, such as `ticket apply` and `ticket show`.
class command_group {
public:
    command_group() = default;
    command_group(const command_group&) = delete;
    command_group& operator=(const command_group&) = delete;
    virtual ~command_group() = default;

    /// Adds the commands of this group and their options to the parser.
    virtual void add_to(CLI::App& app) = 0;

    /// Runs the command of this group that the command line names, if any.
    ///
    /// @param context API client and output streams of the command
    /// @param code    set to the exit code of the command that was run
    /// @return whether a command of this group was run
    virtual bool run(command_context& context, exit_code& code) = 0;
};

/// A subcommand of the parser and the function that runs it.
struct subcommand {
    CLI::App* parser;
    std::function<exit_code(command_context&)> run;
};

/// Runs the subcommand that the command line names, if it is one of `commands`.
///
/// @return whether a subcommand was run
bool run_parsed_command(const std::vector<subcommand>& commands, command_context& context,
                        exit_code& code);

/// @return all command groups of baobabrackctl
std::vector<std::unique_ptr<command_group>> create_command_groups();

}  // namespace baobabrack::ctl

#endif
