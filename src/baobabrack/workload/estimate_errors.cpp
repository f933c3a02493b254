#include "baobabrack/workload/estimate_errors.hpp"

#include <algorithm>
#include <cmath>

#include "baobabrack/units/seconds.hpp"

namespace baobabrack::workload {

namespace {

// Minimum number of runs for a meaningful standard deviation.
constexpr std::uint32_t min_runs = 6;
// In standard deviations of the logarithm; about one run in 200 exceeds it.
constexpr double upper_deviations = 2.6;
// Lower bound on the standard deviation.
constexpr double min_deviation = 0.15;

}  // namespace

void estimate_errors::add(const queue_id& queue, duration estimated, duration took) {
    if (estimated <= duration::zero() || took <= duration::zero()) {
        return;
    }
    const auto value = std::log(to_seconds(took) / to_seconds(estimated));
    auto& stats = queues_[queue];
    ++stats.count;
    const auto delta = value - stats.mean;
    stats.mean += delta / stats.count;
    stats.squared_deviations += delta * (value - stats.mean);
}

std::optional<double> estimate_errors::upper_factor(const queue_id& queue) const {
    const auto found = queues_.find(queue);
    if (found == queues_.end() || found->second.count < min_runs) {
        return std::nullopt;
    }
    const auto& stats = found->second;
    const auto deviation =
        std::max(std::sqrt(stats.squared_deviations / (stats.count - 1)), min_deviation);
    return std::exp(stats.mean + upper_deviations * deviation);
}

}  // namespace baobabrack::workload
