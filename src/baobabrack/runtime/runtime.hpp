#ifndef BAOBABRACK_RUNTIME_RUNTIME_HPP
#define BAOBABRACK_RUNTIME_RUNTIME_HPP

#include <cstdint>
#include <functional>

#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Identifies a timer of one runtime; zero means no timer.
enum class timer_id : std::uint64_t { none = 0 };

/// Clock, timers and random numbers for the decision code: one event loop on one thread.
///
/// The daemon runs on libevent, scenarios and benchmarks run on virtual time.
class runtime {
public:
    runtime() = default;
    runtime(const runtime&) = delete;
    runtime& operator=(const runtime&) = delete;
    virtual ~runtime() = default;

    /// @return monotonic time, including time spent in suspend
    virtual time_point now() const = 0;

    /// @return wall-clock time, which may jump
    virtual wall_time wall_now() const = 0;

    /// Schedules `action` to run once on the loop.
    ///
    /// @param delay  from now; zero or less means the next loop iteration
    /// @param action function to call
    /// @return the timer, to be passed to `cancel`
    virtual timer_id schedule(duration delay, std::function<void()> action) = 0;

    /// Cancels a timer. Timers that have fired and unknown timers are ignored.
    virtual void cancel(timer_id timer) = 0;

    /// @return uniformly distributed random bits
    virtual std::uint64_t random() = 0;
};

}  // namespace baobabrack

#endif
