#ifndef BAOBABRACK_DISPATCH_LATENCY_ESTIMATE_HPP
#define BAOBABRACK_DISPATCH_LATENCY_ESTIMATE_HPP

#include <cmath>

#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Moving mean and deviation of how long a class of requests takes at its targets.
class latency_estimate {
public:
    void record(duration sample) {
        const auto value = static_cast<double>(sample.count());
        if (samples_++ == 0) {
            mean_ = value;
            deviation_ = value / 2;
            return;
        }
        deviation_ += weight * (std::abs(value - mean_) - deviation_);
        mean_ += weight * (value - mean_);
    }

    /// @return zero before the first sample
    duration mean() const { return duration{static_cast<duration::rep>(mean_)}; }

    /// @return the mean and `deviations` times the deviation
    duration within(double deviations) const {
        return duration{static_cast<duration::rep>(mean_ + deviations * deviation_)};
    }

private:
    static constexpr double weight = 0.05;

    double mean_ = 0;
    double deviation_ = 0;
    std::uint64_t samples_ = 0;
};

}  // namespace baobabrack

#endif
