#ifndef BAOBABRACK_CTL_LIST_COMMANDS_HPP
#define BAOBABRACK_CTL_LIST_COMMANDS_HPP

#include <vector>

#include "baobabrack/ctl/command.hpp"

namespace baobabrack::ctl {

/// The commands `workspace list`, `worker list`, `target list`, `confused` and `status`.
class list_commands : public command_group {
public:
    void add_to(CLI::App& app) override;
    bool run(command_context& context, exit_code& code) override;

private:
    std::vector<subcommand> commands_;
};

}  // namespace baobabrack::ctl

#endif
