#include "baobabrack/workload/progress_rate.hpp"

#include <algorithm>

#include "baobabrack/units/seconds.hpp"

namespace baobabrack::workload {

namespace {

// Short enough to detect a slow worker within two windows.
constexpr duration min_window = std::chrono::milliseconds{900};
// A window covers at least this many percent, since percentages are whole numbers, ...
constexpr std::uint32_t min_percent = 3;
// ... unless it has taken this many times as long as at the fastest rate.
constexpr double max_stretch = 4;

}  // namespace

void progress_rate::add_sample(std::uint32_t percent, time_point at) {
    new_window_ = false;
    if (at <= sampled_at_) {
        return;
    }
    sampled_at_ = at;
    if (percent > percent_ && changed_at_ != time_point{}) {
        longest_pause_ = std::max(longest_pause_, at - changed_at_);
    }
    if (percent != percent_ || changed_at_ == time_point{}) {
        changed_at_ = at;
    }
    const bool started = percent_ == 0 && percent > 0;
    percent_ = percent;
    if (started || window_start_ == time_point{}) {
        window_start_ = at;
        window_percent_ = percent;
        return;
    }
    const auto elapsed = to_seconds(at - window_start_);
    const auto gained = percent > window_percent_ ? percent - window_percent_ : 0;
    const bool stretched = fastest_ > 0 && elapsed * fastest_ > min_percent * max_stretch;
    if (at - window_start_ < min_window || (gained < min_percent && !stretched)) {
        return;
    }
    current_ = gained / elapsed;
    fastest_ = std::max(fastest_, current_);
    new_window_ = true;
    window_start_ = at;
    window_percent_ = percent;
}

void progress_rate::restart(time_point at) {
    changed_at_ = at;
    window_start_ = at;
    window_percent_ = percent_;
    new_window_ = false;
}

}  // namespace baobabrack::workload
