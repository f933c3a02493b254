#include "baobabrack/workload/run_pace.hpp"

#include <algorithm>

#include "baobabrack/units/seconds.hpp"

namespace baobabrack::workload {

namespace {

// Short enough to see within two windows that a worker has turned slow.
constexpr duration least_window = std::chrono::milliseconds{900};
// A window shows at least this many percent, as they are whole numbers...
constexpr std::uint32_t least_percent = 3;
// ...unless it has taken this many times as long as the fastest window.
constexpr double most_stretch = 4;

}  // namespace

void run_pace::sample(std::uint32_t percent, time_point at) {
    fresh_ = false;
    if (at <= sampled_at_) {
        return;
    }
    sampled_at_ = at;
    if (percent != percent_ || changed_at_ == time_point{}) {
        changed_at_ = at;
    }
    const bool began = percent_ == 0 && percent > 0;
    percent_ = percent;
    if (began || window_from_ == time_point{}) {
        window_from_ = at;
        window_percent_ = percent;
        return;
    }
    const auto elapsed = to_seconds(at - window_from_);
    const auto moved = percent > window_percent_ ? percent - window_percent_ : 0;
    const bool stretched = best_ > 0 && elapsed * best_ > least_percent * most_stretch;
    if (at - window_from_ < least_window || (moved < least_percent && !stretched)) {
        return;
    }
    current_ = moved / elapsed;
    best_ = std::max(best_, current_);
    fresh_ = true;
    window_from_ = at;
    window_percent_ = percent;
}

void run_pace::restart(time_point at) {
    changed_at_ = at;
    window_from_ = at;
    window_percent_ = percent_;
    fresh_ = false;
}

}  // namespace baobabrack::workload
