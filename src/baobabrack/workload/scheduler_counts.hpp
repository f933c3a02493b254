#ifndef BAOBABRACK_WORKLOAD_SCHEDULER_COUNTS_HPP
#define BAOBABRACK_WORKLOAD_SCHEDULER_COUNTS_HPP

#include <cstdint>

namespace baobabrack::workload {

/// Counters of scheduling decisions, exported as metrics.
struct scheduler_counts {
    std::uint64_t started = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t stopped = 0;
    std::uint64_t lost = 0;
    std::uint64_t refused = 0;
    std::uint64_t preempted = 0;
    /// Runs that were stopped because their worker leaves.
    std::uint64_t departed = 0;
    /// Crashes of workers that had runs.
    std::uint64_t worker_crashes = 0;
    /// Trials of tasks suspected of crashing workers, and how many of them passed.
    std::uint64_t trials = 0;
    std::uint64_t trials_passed = 0;
    /// Jobs that were given up because a task crashes workers.
    std::uint64_t given_up = 0;
    /// Jobs that were given up because their state cannot be stored.
    std::uint64_t unstorable = 0;
};

}  // namespace baobabrack::workload

#endif
