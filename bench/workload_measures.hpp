#ifndef BAOBABRACK_BENCH_WORKLOAD_MEASURES_HPP
#define BAOBABRACK_BENCH_WORKLOAD_MEASURES_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "workload_trace.hpp"

namespace baobabrack::bench {

/// How long a trace is played on after its end, so that the last jobs may still end in time.
constexpr duration after_time = std::chrono::seconds{40};

/// What became of a trace.
struct workload_result {
    /// By job, when it was complete.
    std::vector<std::optional<time_point>> completed;
    /// Core-seconds that were done and not saved; an accelerator counts as eight processors.
    double wasted = 0;
    std::uint64_t runs = 0;
    std::uint64_t preempted = 0;
    /// Runs that were stopped because their worker seemed slow or they seemed to stand still, and
    /// those among them where nothing was wrong with any worker of the run.
    std::uint64_t fault_stops = 0;
    std::uint64_t wrong_stops = 0;
    std::uint64_t overfull = 0;
    /// Processor time of the decisions.
    double decision_s = 0;
    double longest_decision_ms = 0;
};

/// Shares of the worth that was owed.
struct workload_measures {
    double whole_day = 0;
    /// Of the two worst windows of submissions.
    double worst_windows = 0;
    double worst_kind = 0;
    std::vector<double> by_kind;
    /// Price of the work that was thrown away.
    double waste_price = 0;
    /// Weighted as the users weigh it, less the price.
    double worth = 0;
    /// Mean time from submission to completion; of jobs that do not complete, to the end of the
    /// simulation.
    double completion_s = 0;
    std::uint32_t late = 0;
    std::uint32_t lost = 0;
};

workload_measures measure(const workload_trace& trace, const workload_result& result);

}  // namespace baobabrack::bench

#endif
