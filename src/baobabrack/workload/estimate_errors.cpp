#include "baobabrack/workload/estimate_errors.hpp"

#include <algorithm>
#include <cmath>

#include "baobabrack/units/seconds.hpp"

namespace baobabrack::workload {

namespace {

// Below this many runs a spread says little.
constexpr std::uint32_t least_runs = 6;
// Standard deviations of the logarithm; about one run in two hundred exceeds it.
constexpr double few_exceed = 2.6;
// Spread that is assumed at least.
constexpr double least_spread = 0.15;

}  // namespace

void estimate_errors::add(const queue_id& queue, duration estimated, duration took) {
    if (estimated <= duration::zero() || took <= duration::zero()) {
        return;
    }
    const auto value = std::log(to_seconds(took) / to_seconds(estimated));
    auto& one = queues_[queue];
    ++one.count;
    const auto off = value - one.mean;
    one.mean += off / one.count;
    one.squared_deviations += off * (value - one.mean);
}

std::optional<double> estimate_errors::upper_factor(const queue_id& queue) const {
    const auto found = queues_.find(queue);
    if (found == queues_.end() || found->second.count < least_runs) {
        return std::nullopt;
    }
    const auto& one = found->second;
    const auto spread = std::max(std::sqrt(one.squared_deviations / (one.count - 1)), least_spread);
    return std::exp(one.mean + few_exceed * spread);
}

}  // namespace baobabrack::workload
