#ifndef BAOBABRACK_PLACEMENT_RUN_TIME_MODEL_HPP
#define BAOBABRACK_PLACEMENT_RUN_TIME_MODEL_HPP

#include <array>
#include <cstdint>
#include <unordered_map>

#include "baobabrack/units/time.hpp"

namespace baobabrack {

struct planned_job;

/// Run times seen so far, in buckets that grow by the square root of two.
class run_time_histogram {
public:
    static constexpr std::size_t bucket_count = 42;

    void add(double seconds);

    /// @return expected run time still to come, given that the job has run for so long
    double mean_remaining(double attained_seconds) const;

    double total() const { return total_; }

private:
    std::array<float, bucket_count> counts_{};
    double total_ = 0;
};

/// Learns how long jobs really run, per workspace, shape and declared time. A declared time is
/// only a label that like jobs are found by; its own value counts while nothing is learned yet.
class run_time_model {
public:
    /// A job has run to its end.
    void learn(const planned_job& job, duration run);

    /// @param attained what the job has run so far
    /// @return expected seconds still to run
    double expected_remaining(const planned_job& job, duration attained) const;

private:
    const run_time_histogram* best_match(const planned_job& job) const;

    std::unordered_map<std::uint64_t, run_time_histogram> by_key_;
};

}  // namespace baobabrack

#endif
