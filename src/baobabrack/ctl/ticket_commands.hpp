#ifndef BAOBABRACK_CTL_TICKET_COMMANDS_HPP
#define BAOBABRACK_CTL_TICKET_COMMANDS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "baobabrack/ctl/command.hpp"

namespace baobabrack::ctl {

/// The commands `ticket apply|show|diff|status`.
class ticket_commands : public command_group {
public:
    void add_to(CLI::App& app) override;
    bool run(command_context& context, exit_code& code) override;

private:
    exit_code apply(command_context& context) const;
    exit_code show(command_context& context) const;
    exit_code diff(command_context& context) const;
    exit_code status(command_context& context) const;

    std::string file_;
    std::uint64_t number_ = 0;
    std::vector<subcommand> commands_;
};

}  // namespace baobabrack::ctl

#endif
