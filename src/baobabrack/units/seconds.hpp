#ifndef BAOBABRACK_UNITS_SECONDS_HPP
#define BAOBABRACK_UNITS_SECONDS_HPP

#include <string>

#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Converts a duration to seconds for floating-point arithmetic.
constexpr double to_seconds(duration span) {
    return std::chrono::duration<double>(span).count();
}

/// Converts seconds to a duration, truncated to whole microseconds.
constexpr duration from_seconds(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

/// @return whole milliseconds with their unit, for log lines
inline std::string to_ms_text(duration span) {
    const auto ms = std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
    return std::to_string(ms) + " ms";
}

}  // namespace baobabrack

#endif
