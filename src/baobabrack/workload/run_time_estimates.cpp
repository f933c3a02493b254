#include "baobabrack/workload/run_time_estimates.hpp"

#include <algorithm>
#include <cmath>

#include "baobabrack/units/seconds.hpp"

namespace baobabrack::workload {

namespace {

// Minimum number of runs for a meaningful fit.
constexpr std::uint32_t min_runs = 6;
// In standard deviations of the logarithm; about one run in 200 exceeds it.
constexpr double upper_deviations = 2.6;
// Lower bound on the standard deviation.
constexpr double min_deviation = 0.15;
// Added to the squares of the estimates, so that the slope is not fitted to noise when all
// estimates are nearly equal.
constexpr double min_squares = 0.01;

}  // namespace

double run_time_estimates::statistics::slope() const {
    return std::clamp(products / (squares_estimated + min_squares), 0.0, 1.0);
}

double run_time_estimates::statistics::deviation() const {
    const auto fit = slope();
    const auto residual = squares_took - 2 * fit * products + fit * fit * squares_estimated;
    return std::max(std::sqrt(std::max(residual, 0.0) / (count - 2)), min_deviation);
}

double run_time_estimates::statistics::predict(duration estimated) const {
    return mean_took + slope() * (std::log(to_seconds(estimated)) - mean_estimated);
}

void run_time_estimates::add(const queue_id& queue, duration estimated, duration took) {
    if (estimated <= duration::zero() || took <= duration::zero()) {
        return;
    }
    const auto log_estimated = std::log(to_seconds(estimated));
    const auto log_took = std::log(to_seconds(took));
    auto& stats = queues_[queue];
    ++stats.count;
    const auto estimated_delta = log_estimated - stats.mean_estimated;
    const auto took_delta = log_took - stats.mean_took;
    stats.mean_estimated += estimated_delta / stats.count;
    stats.mean_took += took_delta / stats.count;
    stats.squares_estimated += estimated_delta * (log_estimated - stats.mean_estimated);
    stats.squares_took += took_delta * (log_took - stats.mean_took);
    stats.products += estimated_delta * (log_took - stats.mean_took);
}

const run_time_estimates::statistics* run_time_estimates::find(const queue_id& queue,
                                                               duration estimated) const {
    const auto found = queues_.find(queue);
    const bool usable =
        found != queues_.end() && found->second.count >= min_runs && estimated > duration::zero();
    return usable ? &found->second : nullptr;
}

duration run_time_estimates::expected(const queue_id& queue, duration estimated) const {
    const auto* stats = find(queue, estimated);
    return stats == nullptr ? estimated : from_seconds(std::exp(stats->predict(estimated)));
}

std::optional<duration> run_time_estimates::upper_bound(const queue_id& queue,
                                                        duration estimated) const {
    const auto* stats = find(queue, estimated);
    if (stats == nullptr) {
        return std::nullopt;
    }
    return from_seconds(
        std::exp(stats->predict(estimated) + upper_deviations * stats->deviation()));
}

}  // namespace baobabrack::workload
