#ifndef BAOBABRACK_CTL_LOGGED_HISTORY_HPP
#define BAOBABRACK_CTL_LOGGED_HISTORY_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "baobabrack/ctl/losses_report.hpp"
#include "baobabrack/ctl/submitted_job.hpp"

namespace baobabrack::ctl {

/// A time span in a log.
struct log_span {
    log_time begin{};
    log_time end{};
};

/// What a leader said that a job waits for.
struct reported_wait {
    log_time time{};
    std::size_t step = 0;
    waiting_cause cause = waiting_cause::capacity;
    /// Why workers are left out.
    std::string reason;
};

/// What the lines about a job tell, whatever their order.
struct job_history {
    std::optional<submitted_job> submitted;
    std::optional<log_time> accepted;
    std::optional<log_time> ended;
    bool completed = false;
    /// In order of time.
    std::vector<reported_wait> waits;
};

/// Name of a task and number of a run.
using logged_run = std::pair<std::string, std::int64_t>;

/// What several lines tell together, before the runs are followed in order of time.
struct logged_history {
    bool has_leader_lines = false;
    std::map<std::string, job_history> jobs;
    std::map<logged_run, workload::stop_cause> stops;
    /// When the worker accepted the start, by its guard's log.
    std::map<logged_run, log_time> starts;
    /// Spans without a leader, in order of time.
    std::vector<log_span> leaderless;
};

/// @param records in order of time
logged_history collect_history(const std::vector<log_record>& records);

/// @return whether a guard wrote the line. It has lines with the names of the scheduler's events,
///         which tell what it does about its worker
bool is_from_guard(const log_record& record);

}  // namespace baobabrack::ctl

#endif
