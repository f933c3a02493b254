#ifndef BAOBABRACK_WORKLOAD_WORKER_REPORT_HPP
#define BAOBABRACK_WORKLOAD_WORKER_REPORT_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/names.hpp"
#include "baobabrack/workload/worker_table.hpp"

namespace baobabrack::workload {

enum class run_outcome {
    done,
    failed,
    stopped,
    lease_lapsed,
    gang_broken,
    gang_incomplete,
    unknown
};

std::string_view to_string(run_outcome outcome);

/// A run that a worker reports as ended.
struct ended_run {
    /// Position among the ended runs of one worker instance, counted from 1.
    std::uint64_t sequence = 0;
    task_name task;
    run_number run;
    run_outcome outcome = run_outcome::unknown;
    std::string checkpoint;
};

/// A run that a worker executes or is starting.
struct reported_run {
    task_name task;
    run_number run;
    std::string checkpoint;
    std::uint32_t percent = 0;
    /// The worker has listed the run; otherwise its start may still be pending.
    bool listed = true;
    /// The worker has listed the run or accepted its start.
    bool begun = true;
    /// The guard has not started the run and does not know what it needs.
    bool needs_unknown = false;
};

/// The runs that a worker lists when its lease is renewed.
struct run_lists {
    std::vector<reported_run> runs;
    std::vector<ended_run> ends;
    /// The reply does not show all runs, or not all could be decoded. A run that is missing from
    /// both lists may be active or may have ended.
    bool incomplete = false;
};

/// A run that was refused and will not start any more.
struct refused_run {
    task_name task;
    run_number run;
    std::string reason;
};

/// A run whose start a guard has sent.
struct sent_run {
    task_name task;
    run_number run;
    /// The worker has listed the run or accepted its start.
    bool begun = false;
};

/// The instance of a worker that another one has replaced, as reported by its guard.
struct replaced_worker {
    worker_instance instance;
    /// Time since it returned its latest lists.
    duration lists_age{};
    /// The runs that it may have had.
    std::vector<sent_run> runs;
};

/// The state of a worker as reported by its guard.
struct worker_report {
    worker_facts facts;
    /// Whether the lists come from the worker. A guard that has just started has none yet.
    bool lists_known = false;
    /// The worker does not respond. The guard renews the lease again only after the leader has
    /// answered a report without this flag.
    bool lease_suspended = false;
    /// Upper bound on the time until the worker's lease expires, from when the report was sent.
    duration lease_remaining{};
    /// Time since the worker returned the lists.
    duration lists_age{};
    /// The worker has not announced its capacity for too long, so the guard starts nothing.
    bool capacity_outdated = false;
    /// How long this instance of the worker has run.
    duration worker_age{};
    std::vector<reported_run> runs;
    std::vector<ended_run> ends;
    std::vector<refused_run> refusals;
    /// The instance that ran on the host before, if this guard has recently seen its lists.
    std::optional<replaced_worker> replaced;
};

}  // namespace baobabrack::workload

#endif
