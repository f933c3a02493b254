#ifndef BAOBABRACK_CTL_WHY_COMMAND_HPP
#define BAOBABRACK_CTL_WHY_COMMAND_HPP

#include <iosfwd>
#include <string>
#include <vector>

#include "baobabrack/ctl/command.hpp"

namespace baobabrack::ctl {

/// The command `why`, which prints the events of one job from collected log files.
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

/// A log line that refers to a job.
struct job_event {
    std::string time;
    /// Id of the process that wrote the line.
    std::string process;
    std::string name;
    /// The remaining fields, each as "name value".
    std::vector<std::string> fields;
};

/// Returns the events of a job from several logs, sorted by time. Log collectors may prefix lines,
/// so text before the JSON object of a line is ignored.
std::vector<job_event> read_job_events(const std::vector<std::string>& log_texts,
                                       const std::string& job);

}  // namespace baobabrack::ctl

#endif
