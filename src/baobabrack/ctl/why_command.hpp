#ifndef BAOBABRACK_CTL_WHY_COMMAND_HPP
#define BAOBABRACK_CTL_WHY_COMMAND_HPP

#include <iosfwd>
#include <string>
#include <vector>

#include "baobabrack/ctl/command.hpp"

namespace baobabrack::ctl {

/// `why`: the story of one job from collected log files.
class why_command : public command_group {
public:
    void add_to(CLI::App& app) override;
    bool run(command_context& context, exit_code& code) override;

private:
    exit_code print_events(command_context& context) const;

    std::string job_;
    std::vector<std::string> files_;
    std::vector<subcommand> commands_;
};

/// One log line about a job.
struct job_event {
    std::string time;
    /// Process that wrote it.
    std::string process;
    std::string name;
    /// The other fields, as "name value".
    std::vector<std::string> fields;
};

/// Picks the lines about a job, in the order of their time. Text before a line's JSON object is
/// passed over, as collectors add it.
std::vector<job_event> read_job_events(const std::vector<std::string>& log_texts,
                                       const std::string& job);

}  // namespace baobabrack::ctl

#endif
