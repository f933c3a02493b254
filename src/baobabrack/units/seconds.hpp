#ifndef BAOBABRACK_UNITS_SECONDS_HPP
#define BAOBABRACK_UNITS_SECONDS_HPP

#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// @return a span as a number of seconds, for arithmetic on rates
constexpr double to_seconds(duration span) {
    return std::chrono::duration<double>(span).count();
}

/// @return a number of seconds as a span, for results of arithmetic on rates
constexpr duration from_seconds(double seconds) {
    return std::chrono::duration_cast<duration>(std::chrono::duration<double>(seconds));
}

}  // namespace baobabrack

#endif
