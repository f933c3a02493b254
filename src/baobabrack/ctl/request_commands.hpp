#ifndef BAOBABRACK_CTL_REQUEST_COMMANDS_HPP
#define BAOBABRACK_CTL_REQUEST_COMMANDS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "baobabrack/ctl/command.hpp"

namespace baobabrack::ctl {

/// The command `request send`.
class request_commands : public command_group {
public:
    void add_to(CLI::App& app) override;
    bool run(command_context& context, exit_code& code) override;

private:
    exit_code send(command_context& context) const;

    std::string workspace_;
    std::string class_;
    std::string body_;
    std::string file_;
    std::string key_;
    std::string region_;
    bool new_key_ = false;
    std::uint32_t deadline_ms_ = 10'000;
    std::vector<std::string> headers_;
    std::vector<subcommand> commands_;
};

}  // namespace baobabrack::ctl

#endif
