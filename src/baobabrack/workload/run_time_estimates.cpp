#include "baobabrack/workload/run_time_estimates.hpp"

#include <algorithm>
#include <cmath>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload/job_spec.hpp"

namespace baobabrack::workload {

namespace {

// Minimum number of runs for a meaningful fit.
constexpr std::size_t min_runs = 6;
// Runs that are kept of each class. The tasks of one wide step can end more runs at once, which
// must not displace what is known of other classes; and run times change over time.
constexpr std::size_t max_class_runs = 32;
// In standard deviations of the logarithm; about one run in 200 exceeds it.
constexpr double upper_deviations = 2.6;
// Lower bound on the standard deviation.
constexpr double min_deviation = 0.15;
// Weight of the prior slope of 1, as a sum of squares of the declared times' logarithms: that of
// six runs over a range of a factor of 3. With less data the slope stays near 1.
constexpr double prior_squares = 1;
// Prior of the standard deviation and its weight in runs. A factor of up to 1.9 either way, which
// is usual, has a deviation of 0.37; a few equal run times do not show that it is smaller.
constexpr double prior_deviation = 0.4;
constexpr double prior_runs = 2;
// A declared time outside the range of the data is within it for practical purposes if it differs
// by no more than declared times usually differ from run times.
constexpr double range_margin = 1.9;
// Upper limit of expected run times, so that sums of them do not overflow.
constexpr duration max_expected = std::chrono::hours{24 * 365};

// The class of declared times within a factor of two.
int class_of(double log_estimated) {
    return static_cast<int>(std::floor(log_estimated / std::log(2.0)));
}

}  // namespace

void run_time_estimates::queue_runs::fit() {
    count = 0;
    mean_estimated = 0;
    mean_took = 0;
    double squares_estimated = 0;
    double squares_took = 0;
    double products = 0;
    for (const auto& [number, runs] : classes) {
        for (const auto& run : runs.samples) {
            lowest = count == 0 ? run.estimated : std::min(lowest, run.estimated);
            highest = count == 0 ? run.estimated : std::max(highest, run.estimated);
            ++count;
            const auto estimated_delta = run.estimated - mean_estimated;
            const auto took_delta = run.took - mean_took;
            mean_estimated += estimated_delta / static_cast<double>(count);
            mean_took += took_delta / static_cast<double>(count);
            squares_estimated += estimated_delta * (run.estimated - mean_estimated);
            squares_took += took_delta * (run.took - mean_took);
            products += estimated_delta * (run.took - mean_took);
        }
    }
    if (count < min_runs) {
        return;
    }
    slope = std::clamp((products + prior_squares) / (squares_estimated + prior_squares), 0.0, 1.0);
    const auto residual =
        std::max(squares_took - 2 * slope * products + slope * slope * squares_estimated, 0.0);
    const auto prior = prior_runs * prior_deviation * prior_deviation;
    const auto freedom = static_cast<double>(count) - 2 + prior_runs;
    deviation = std::max(std::sqrt((residual + prior) / freedom), min_deviation);
}

double run_time_estimates::queue_runs::predict(double log_estimated) const {
    const auto margin = std::log(range_margin);
    const auto inside = std::clamp(log_estimated, lowest - margin, highest + margin);
    return mean_took + slope * (inside - mean_estimated) + (log_estimated - inside);
}

void run_time_estimates::add(const queue_id& queue, duration estimated, duration took) {
    if (estimated <= min_estimate || took <= duration::zero()) {
        return;
    }
    const auto log_estimated = std::log(to_seconds(estimated));
    auto& runs = queues_[queue];
    auto& [samples, next] = runs.classes[class_of(log_estimated)];
    const sample run{.estimated = log_estimated, .took = std::log(to_seconds(took))};
    if (samples.size() < max_class_runs) {
        samples.push_back(run);
    } else {
        samples[next] = run;
        next = (next + 1) % max_class_runs;
    }
    runs.fit();
}

const run_time_estimates::queue_runs* run_time_estimates::find(const queue_id& queue,
                                                               duration estimated) const {
    const auto found = queues_.find(queue);
    const bool usable =
        found != queues_.end() && found->second.count >= min_runs && estimated > min_estimate;
    return usable ? &found->second : nullptr;
}

duration run_time_estimates::expected(const queue_id& queue, duration estimated) const {
    const auto* runs = find(queue, estimated);
    if (runs == nullptr) {
        return estimated;
    }
    const auto seconds = std::exp(runs->predict(std::log(to_seconds(estimated))));
    return from_seconds(std::min(seconds, to_seconds(max_expected)));
}

std::optional<duration> run_time_estimates::upper_bound(const queue_id& queue,
                                                        duration estimated) const {
    const auto* runs = find(queue, estimated);
    if (runs == nullptr) {
        return std::nullopt;
    }
    const auto log_estimated = std::log(to_seconds(estimated));
    const auto margin = std::log(range_margin);
    if (log_estimated < runs->lowest - margin || log_estimated > runs->highest + margin) {
        return std::nullopt;
    }
    const auto seconds =
        std::exp(runs->predict(log_estimated) + upper_deviations * runs->deviation);
    return from_seconds(std::min(seconds, to_seconds(max_expected)));
}

}  // namespace baobabrack::workload
