#ifndef BAOBABRACK_WORKLOAD_PROGRESS_RATE_HPP
#define BAOBABRACK_WORKLOAD_PROGRESS_RATE_HPP

#include <cstdint>

#include "baobabrack/units/time.hpp"

namespace baobabrack::workload {

/// The progress rate of one run, measured over windows of several percent.
///
/// Estimates of some queues are off by several times, so a run is compared with itself and with its
/// siblings rather than with its estimate.
class progress_rate {
public:
    /// Adds a percentage that was read at a given time. Ignores samples that are not newer than the
    /// last one.
    void add_sample(std::uint32_t percent, time_point at);

    std::uint32_t percent() const { return percent_; }

    /// @return when the percentage last changed or the measurement was restarted
    time_point unchanged_since() const { return changed_at_; }

    /// @return the longest time without a change that ended with progress; zero before the first
    duration longest_pause() const { return longest_pause_; }

    /// Restarts the window and the time without change, after a time in which the run was not
    /// observed.
    void restart(time_point at);

    /// @return whether a window has been completed
    bool has_measurement() const { return fastest_ > 0; }

    /// @return percent per second over the latest window
    double current() const { return current_; }

    /// @return percent per second over the fastest window
    double fastest() const { return fastest_; }

    /// @return whether the last sample completed a window
    bool has_new_window() const { return new_window_; }

private:
    std::uint32_t percent_ = 0;
    time_point sampled_at_{};
    time_point changed_at_{};
    duration longest_pause_{};
    // Start of the current window.
    std::uint32_t window_percent_ = 0;
    time_point window_start_{};
    double current_ = 0;
    double fastest_ = 0;
    bool new_window_ = false;
};

}  // namespace baobabrack::workload

#endif
