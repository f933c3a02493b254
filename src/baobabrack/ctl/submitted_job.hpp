#ifndef BAOBABRACK_CTL_SUBMITTED_JOB_HPP
#define BAOBABRACK_CTL_SUBMITTED_JOB_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/ctl/log_records.hpp"

namespace baobabrack::ctl {

/// A step as the line `job-submitted` describes it.
struct submitted_step {
    std::uint64_t tasks = 0;
    std::uint64_t accelerators = 0;
    std::uint64_t millicores = 0;
    bool gang = false;
    bool checkpoints = false;
    bool long_running = false;
    /// Earlier steps that must be done before this one starts.
    std::vector<std::size_t> after;

    /// @return work of a task per second, in core-seconds; an accelerator counts as 8 cores
    double cores() const;
};

/// A job as its line `job-submitted` describes it.
struct submitted_job {
    std::string queue;
    std::string workspace;
    log_time submitted{};
    /// Empty if the text of the steps could not be read.
    std::vector<submitted_step> steps;
    /// How long the job may take; nothing for a job that is repeated.
    std::optional<std::chrono::milliseconds> objective;
    /// Zero for a job that runs once.
    std::uint64_t occurrences = 0;
    /// When the first occurrence is due; nothing in logs of older schedulers.
    std::optional<log_time> first_due;
    std::chrono::milliseconds interval{};
};

/// @param text the field `steps`. A later step without its dependencies, as older schedulers log
///             it, depends on the step before
/// @return nothing if the text cannot be read
std::optional<std::vector<submitted_step>> parse_steps(std::string_view text);

submitted_job parse_submitted_job(const log_record& record);

/// A task as its name in the log identifies it.
struct logged_task {
    std::string job;
    std::uint64_t occurrence = 0;
    std::size_t step = 0;
    std::uint64_t index = 0;
};

/// @param text job, occurrence, step and index, joined by dots
std::optional<logged_task> parse_task(std::string_view text);

}  // namespace baobabrack::ctl

#endif
