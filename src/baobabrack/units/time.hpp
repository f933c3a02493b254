#ifndef BAOBABRACK_UNITS_TIME_HPP
#define BAOBABRACK_UNITS_TIME_HPP

#include <chrono>

namespace baobabrack {

using duration = std::chrono::microseconds;

/// Monotonic clock of a runtime, which includes time in system suspend. The origin is specific to
/// the runtime, so time points of different runtimes must not be compared.
struct runtime_clock {
    using duration = baobabrack::duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<runtime_clock, duration>;
    static constexpr bool is_steady = true;
};

using time_point = runtime_clock::time_point;

/// Wall-clock time in milliseconds since the Unix epoch, as stored in records and idempotency keys.
using wall_time = std::chrono::sys_time<std::chrono::milliseconds>;

}  // namespace baobabrack

#endif
