#ifndef BAOBABRACK_WORKLOAD_DEPARTURE_HPP
#define BAOBABRACK_WORKLOAD_DEPARTURE_HPP

#include <optional>

#include "baobabrack/units/time.hpp"

namespace baobabrack::workload {

/// A run on a worker that has announced when it leaves.
struct departing_run {
    /// Nothing for a run that lasts until its job is cancelled.
    std::optional<time_point> expected_end;
    /// A stop saves the work of the run.
    bool saved_by_stop = false;
};

/// Answers workers that leave at short notice with runs on them. A run that ends with its worker
/// is known to have ended only once its lease has expired, seconds later, while a stopped one can
/// start elsewhere at once.
///
/// @param departure  when the worker leaves
/// @param stop_delay longest time that a stop takes
/// @return when to stop the run, or nothing if it is expected to end before, or if a stop would
///         save nothing any more
std::optional<time_point> stop_before_departure(const departing_run& run, time_point now,
                                                time_point departure, duration stop_delay);

}  // namespace baobabrack::workload

#endif
