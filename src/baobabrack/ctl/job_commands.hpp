#ifndef BAOBABRACK_CTL_JOB_COMMANDS_HPP
#define BAOBABRACK_CTL_JOB_COMMANDS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "baobabrack/ctl/command.hpp"
#include "baobabrack/units/failure.hpp"

namespace baobabrack::ctl {

/// The commands `job submit|show|list|cancel|watch`.
class job_commands : public command_group {
public:
    void add_to(CLI::App& app) override;
    bool run(command_context& context, exit_code& code) override;

private:
    void add_submit(CLI::App& group);
    CLI::App* add_job_command(CLI::App& group, const char* name, const char* help);
    exit_code submit(command_context& context) const;
    exit_code show(command_context& context) const;
    exit_code list(command_context& context) const;
    exit_code cancel(command_context& context) const;
    exit_code watch(command_context& context) const;
    std::string job_path() const;
    result<std::string> read_spec() const;

    std::string workspace_;
    std::string id_;
    std::string file_;
    std::string reason_;
    std::string adjacency_ = "rack";
    std::string run_command_;
    std::uint32_t members_ = 1;
    std::uint32_t accelerators_ = 1;
    std::uint32_t cpu_millicores_ = 1000;
    std::uint32_t memory_mib_ = 1024;
    std::uint64_t declared_run_ms_ = 0;
    std::uint32_t max_attempts_ = 0;
    bool urgent_ = false;
    bool checkpointable_ = false;
    std::uint32_t interval_ms_ = 500;
    std::vector<subcommand> commands_;
};

}  // namespace baobabrack::ctl

#endif
