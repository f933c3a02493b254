#ifndef BAOBABRACK_WORKLOAD_LOST_WORK_CAUSE_HPP
#define BAOBABRACK_WORKLOAD_LOST_WORK_CAUSE_HPP

#include <algorithm>
#include <array>
#include <optional>
#include <string_view>

namespace baobabrack::workload {

/// Why the work of a run was lost.
enum class lost_work_cause {
    /// Stopped for a job of higher priority.
    preempted,
    /// Stopped for a job within the guarantee of its workspace.
    reclaimed,
    /// Another member of the gang has ended.
    gang_ended,
    slow_worker,
    no_progress,
    cancelled,
    job_failed,
    /// The run itself ended as failed.
    run_failed,
    worker_crashed,
    lease_expired,
    start_refused,
    /// Another run of the task was done.
    done_twice,
    /// The worker shuts down before the run would end.
    worker_leaves,
    /// The start was withdrawn, since the data centre is being evacuated.
    evacuated,
    /// Stopped by an earlier leader, or ended without a known reason.
    unknown,
};

/// All causes, in the order of their values.
inline constexpr std::array lost_work_causes{
    lost_work_cause::preempted,     lost_work_cause::reclaimed,     lost_work_cause::gang_ended,
    lost_work_cause::slow_worker,   lost_work_cause::no_progress,   lost_work_cause::cancelled,
    lost_work_cause::job_failed,    lost_work_cause::run_failed,    lost_work_cause::worker_crashed,
    lost_work_cause::lease_expired, lost_work_cause::start_refused, lost_work_cause::done_twice,
    lost_work_cause::worker_leaves, lost_work_cause::evacuated,     lost_work_cause::unknown,
};

/// @return the name in metrics, log fields and reports
constexpr std::string_view to_string(lost_work_cause cause) {
    switch (cause) {
        case lost_work_cause::preempted:
            return "preempted";
        case lost_work_cause::reclaimed:
            return "reclaimed";
        case lost_work_cause::gang_ended:
            return "gang_ended";
        case lost_work_cause::slow_worker:
            return "slow_worker";
        case lost_work_cause::no_progress:
            return "no_progress";
        case lost_work_cause::cancelled:
            return "cancelled";
        case lost_work_cause::job_failed:
            return "job_failed";
        case lost_work_cause::run_failed:
            return "run_failed";
        case lost_work_cause::worker_crashed:
            return "worker_crashed";
        case lost_work_cause::lease_expired:
            return "lease_expired";
        case lost_work_cause::start_refused:
            return "start_refused";
        case lost_work_cause::done_twice:
            return "done_twice";
        case lost_work_cause::worker_leaves:
            return "worker_leaves";
        case lost_work_cause::evacuated:
            return "evacuated";
        case lost_work_cause::unknown:
            return "unknown";
    }
    return "unknown";
}

/// @return nothing if the name is not that of a cause
constexpr std::optional<lost_work_cause> parse_lost_work_cause(std::string_view name) {
    const auto* const found =
        std::find_if(lost_work_causes.begin(), lost_work_causes.end(),
                     [&](lost_work_cause cause) { return to_string(cause) == name; });
    return found == lost_work_causes.end() ? std::nullopt : std::optional{*found};
}

/// Why the scheduler stops a run.
enum class stop_cause {
    preempted,
    reclaimed,
    gang_ended,
    slow_worker,
    no_progress,
    job_cancelled,
    job_failed,
    done_earlier,
    worker_leaves,
    evacuated,
};

/// All causes of stops, in the order of their values.
inline constexpr std::array stop_causes{
    stop_cause::preempted,   stop_cause::reclaimed,    stop_cause::gang_ended,
    stop_cause::slow_worker, stop_cause::no_progress,  stop_cause::job_cancelled,
    stop_cause::job_failed,  stop_cause::done_earlier, stop_cause::worker_leaves,
    stop_cause::evacuated,
};

/// @return the text for the log
constexpr std::string_view to_string(stop_cause cause) {
    switch (cause) {
        case stop_cause::preempted:
            return "preempted by a job of priority 0";
        case stop_cause::reclaimed:
            return "reclaimed by a guaranteed job; its workspace uses more than its guarantee";
        case stop_cause::gang_ended:
            return "another run of the gang has ended";
        case stop_cause::slow_worker:
            return "the worker is slow";
        case stop_cause::no_progress:
            return "no progress";
        case stop_cause::job_cancelled:
            return "the job was cancelled";
        case stop_cause::job_failed:
            return "the job has failed";
        case stop_cause::done_earlier:
            return "an earlier run of the task has ended as done";
        case stop_cause::worker_leaves:
            return "the worker leaves before the run ends";
        case stop_cause::evacuated:
            return "its data centre is being evacuated";
    }
    return "unknown";
}

/// @return the cause under which the work of the stopped run is counted
constexpr lost_work_cause cause_of(stop_cause stopped) {
    switch (stopped) {
        case stop_cause::preempted:
            return lost_work_cause::preempted;
        case stop_cause::reclaimed:
            return lost_work_cause::reclaimed;
        case stop_cause::gang_ended:
            return lost_work_cause::gang_ended;
        case stop_cause::slow_worker:
            return lost_work_cause::slow_worker;
        case stop_cause::no_progress:
            return lost_work_cause::no_progress;
        case stop_cause::job_cancelled:
            return lost_work_cause::cancelled;
        case stop_cause::job_failed:
            return lost_work_cause::job_failed;
        case stop_cause::done_earlier:
            return lost_work_cause::done_twice;
        case stop_cause::worker_leaves:
            return lost_work_cause::worker_leaves;
        case stop_cause::evacuated:
            return lost_work_cause::evacuated;
    }
    return lost_work_cause::unknown;
}

}  // namespace baobabrack::workload

#endif
