#ifndef BAOBABRACK_METRICS_LATENCY_HISTOGRAM_HPP
#define BAOBABRACK_METRICS_LATENCY_HISTOGRAM_HPP

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>

#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Histogram of durations with logarithmically spaced buckets from 10 µs to 1,000 s. Shorter
/// samples count in the first bucket, longer ones in `+Inf` only.
class latency_histogram {
public:
    latency_histogram();
    ~latency_histogram();
    latency_histogram(latency_histogram&&) noexcept;
    latency_histogram& operator=(latency_histogram&&) noexcept;

    void record(duration sample);

    std::uint64_t count() const { return count_; }
    duration total() const { return total_; }

    /// @param probability between 0 and 1, such as 0.99
    /// @return the upper bound of the bucket that contains the quantile; zero without samples
    duration quantile(double probability) const;

    /// Appends this histogram in the Prometheus text format.
    ///
    /// @param labels rendered labels without the braces, such as `class="polish"`; may be empty
    void render(std::string& out, const std::string& name, const std::string& labels) const;

private:
    struct buckets;

    std::unique_ptr<buckets> buckets_;
    std::uint64_t count_ = 0;
    duration total_{};
};

}  // namespace baobabrack

#endif
