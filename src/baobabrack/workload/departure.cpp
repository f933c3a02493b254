#include "baobabrack/workload/departure.hpp"

#include <algorithm>

namespace baobabrack::workload {

std::optional<time_point> stop_before_departure(const departing_run& run, time_point now,
                                                time_point departure, duration stop_delay) {
    const bool lasts = !run.expected_end;
    if (!lasts && *run.expected_end <= departure) {
        return std::nullopt;
    }
    // The work until the last moment is not lost.
    if (run.saved_by_stop || lasts) {
        return std::max(now, departure - stop_delay);
    }
    // The worker may stay for longer than announced, so a run that is late may still end.
    return now < departure ? std::optional{now} : std::nullopt;
}

}  // namespace baobabrack::workload
