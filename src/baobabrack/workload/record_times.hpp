#ifndef BAOBABRACK_WORKLOAD_RECORD_TIMES_HPP
#define BAOBABRACK_WORKLOAD_RECORD_TIMES_HPP

#include <algorithm>
#include <cstdint>

#include "baobabrack/units/time.hpp"

namespace baobabrack::workload {

/// Longest time that is read from a record or a message. Sums of it over the tasks and occurrences
/// of a job fit into a `duration`.
constexpr std::chrono::milliseconds max_record_span = std::chrono::hours{24 * 366};
/// The year 2100.
constexpr std::chrono::milliseconds max_record_time{4'102'444'800'000};

/// @return the time in milliseconds, cut to the longest one: a record that another version or
///         writer has stored must not be lost because of it
inline std::chrono::milliseconds span_from_record(std::uint64_t milliseconds) {
    return std::chrono::milliseconds{
        std::min(milliseconds, static_cast<std::uint64_t>(max_record_span.count()))};
}

/// @return the time since the Unix epoch, cut to the latest one
inline wall_time wall_time_from_record(std::uint64_t unix_ms) {
    return wall_time{std::chrono::milliseconds{
        std::min(unix_ms, static_cast<std::uint64_t>(max_record_time.count()))}};
}

}  // namespace baobabrack::workload

#endif
