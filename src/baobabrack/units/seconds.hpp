#ifndef BAOBABRACK_UNITS_SECONDS_HPP
#define BAOBABRACK_UNITS_SECONDS_HPP

#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// @return a span as a number of seconds, for arithmetic on rates
constexpr double to_seconds(duration span) {
    return std::chrono::duration<double>(span).count();
}

}  // namespace baobabrack

#endif
