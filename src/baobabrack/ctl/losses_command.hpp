#ifndef BAOBABRACK_CTL_LOSSES_COMMAND_HPP
#define BAOBABRACK_CTL_LOSSES_COMMAND_HPP

#include <iosfwd>
#include <string>
#include <vector>

#include "baobabrack/ctl/command.hpp"
#include "baobabrack/ctl/losses_report.hpp"

namespace baobabrack::ctl {

/// The command `losses`, which prints lost time and lost work by cause from collected log files.
class losses_command : public command_group {
public:
    void add_to(CLI::App& app) override;
    bool run(command_context& context, exit_code& code) override;

private:
    exit_code print_losses(command_context& context) const;

    std::vector<std::string> files_;
    bool json_ = false;
    std::vector<subcommand> commands_;
};

/// Writes the report as tables.
void write_tables(std::ostream& out, const losses_report& report);

/// @return the report as JSON
std::string to_json(const losses_report& report);

}  // namespace baobabrack::ctl

#endif
