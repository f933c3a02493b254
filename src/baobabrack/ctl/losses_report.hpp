#ifndef BAOBABRACK_CTL_LOSSES_REPORT_HPP
#define BAOBABRACK_CTL_LOSSES_REPORT_HPP

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "baobabrack/ctl/log_records.hpp"
#include "baobabrack/workload/lost_work_cause.hpp"

namespace baobabrack::ctl {

/// What tasks wait for.
enum class waiting_cause {
    capacity,
    /// The free capacity is enough in total, but no worker has enough of it.
    whole_worker,
    /// A rack-local gang fits only across racks.
    rack,
    /// The room that there is is reserved for other jobs.
    reserved,
    /// There is room on workers that are left out.
    excluded,
    /// From the assignment until the worker has the run.
    order,
    /// No scheduler decides.
    leader,
    /// The log does not tell; a leader reports only jobs that have waited for a second.
    not_reported,
};

/// @return the name in tables and in JSON
std::string_view to_string(waiting_cause cause);

/// Waiting time of tasks, in seconds times tasks and times their accelerators.
struct waiting_time {
    double task_seconds = 0;
    double accelerator_seconds = 0;
};

/// Work of runs that ended unfinished or were not needed.
struct lost_work {
    std::uint64_t runs = 0;
    /// Run time that was lost, in seconds.
    double run_seconds = 0;
    /// The same times the cores of the run; an accelerator counts as 8 cores.
    double core_seconds = 0;
    /// Run time of the same runs that a checkpoint preserved, in seconds and in core-seconds.
    double saved_run_seconds = 0;
    double saved_core_seconds = 0;
};

/// Jobs of a queue or of a workspace.
struct job_counts {
    std::uint64_t accepted = 0;
    /// Completed, failed or cancelled.
    std::uint64_t ended = 0;
    /// Completed within the objective. A repeated job has none.
    std::uint64_t within_objective = 0;
    /// Completed later than three times the objective, or open for longer than that.
    std::uint64_t very_late = 0;
    /// Open and without a run when the logs end.
    std::uint64_t waiting = 0;
};

/// What the logs do not tell, so that the figures are too low or too high.
struct missing_information {
    /// Accepted jobs and runs whose `job-submitted` line is missing.
    std::uint64_t jobs_without_needs = 0;
    std::uint64_t runs_without_needs = 0;
    /// Ended runs of which no line tells when they began: their wait for the order is not counted,
    /// and their run time begins with the assignment.
    std::uint64_t runs_without_start = 0;
    /// Lost runs of steps with checkpoints of which no line tells what was preserved: all of their
    /// run time counts as lost.
    std::uint64_t runs_without_saved_time = 0;
    /// Runs of which no line tells when their task could run: no wait before them is counted.
    std::uint64_t runs_without_ready_time = 0;
};

struct losses_report {
    /// Whether the logs have lines of a scheduler that has led.
    bool has_leader_lines = false;
    /// Times of the first and the last line.
    log_time first{};
    log_time last{};
    /// By cause, and for `excluded` by the reason for which the workers are left out.
    std::map<std::pair<waiting_cause, std::string>, waiting_time> waiting;
    std::map<workload::lost_work_cause, lost_work> lost;
    std::map<std::string, job_counts> queues;
    std::map<std::string, job_counts> workspaces;
    missing_information missing;
};

/// Analyses the merged logs of schedulers and guards. Lines with unknown events are ignored, and a
/// decision that two leaders have logged counts once.
///
/// @param records in any order
losses_report analyse_losses(std::vector<log_record> records);

}  // namespace baobabrack::ctl

#endif
