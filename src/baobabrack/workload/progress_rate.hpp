#ifndef BAOBABRACK_WORKLOAD_PROGRESS_RATE_HPP
#define BAOBABRACK_WORKLOAD_PROGRESS_RATE_HPP

#include <cstdint>

#include "baobabrack/units/time.hpp"

namespace baobabrack::workload {

/// How fast one run moves, measured on its own percentages over windows of some percent.
///
/// Estimates are off by several times at some queues, so a run is compared with itself and with
/// its siblings rather than with its estimate.
class progress_rate {
public:
    /// Takes a percentage that was read at a moment; one that is not newer than what is known
    /// says nothing.
    void add_sample(std::uint32_t percent, time_point at);

    std::uint32_t percent() const { return percent_; }

    /// @return since when the percentage has been what it is, or has not been watched
    time_point unchanged_since() const { return changed_at_; }

    /// The run was not watched until now: what stood still meanwhile says nothing.
    void restart(time_point at);

    /// @return whether a window has been measured
    bool has_measurement() const { return fastest_ > 0; }

    /// @return percent a second over the newest window
    double current() const { return current_; }

    /// @return percent a second over the fastest window
    double fastest() const { return fastest_; }

    /// @return whether the newest window ended with the newest sample
    bool has_new_window() const { return new_window_; }

private:
    std::uint32_t percent_ = 0;
    time_point sampled_at_{};
    time_point changed_at_{};
    // Begin of the window that is under way.
    std::uint32_t window_percent_ = 0;
    time_point window_start_{};
    double current_ = 0;
    double fastest_ = 0;
    bool new_window_ = false;
};

}  // namespace baobabrack::workload

#endif
