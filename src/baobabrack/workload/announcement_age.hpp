#ifndef BAOBABRACK_WORKLOAD_ANNOUNCEMENT_AGE_HPP
#define BAOBABRACK_WORKLOAD_ANNOUNCEMENT_AGE_HPP

#include <optional>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/worker_port.hpp"

namespace baobabrack::workload {

/// Tells how long ago a worker made its latest announcement, by the worker's own clock.
///
/// The time of arrival does not tell: while a process is paused, announcements wait in its socket.
class announcement_age {
public:
    /// Discards everything, for a new instance of the worker.
    void reset() { *this = {}; }

    /// Records a reading of the worker's clock. When it arrived, the clock had at least this value.
    void record_clock(worker_time reading, time_point now);

    /// Records the latest announcement.
    ///
    /// @param clock the worker's clock when it was made; if it is missing, the time of arrival
    ///              counts
    void record_announcement(std::optional<worker_time> clock, time_point now);

    /// @return an upper estimate of the time since the latest announcement was made; the maximum
    ///         of the type if there was none
    duration value(time_point now) const;

private:
    duration worker_clock(time_point now) const;

    /// How far the worker's clock is ahead of the host's; nothing before the first reading.
    std::optional<duration> offset_;
    time_point offset_at_{};
    std::optional<worker_time> announced_;
    std::optional<time_point> arrived_;
};

}  // namespace baobabrack::workload

#endif
