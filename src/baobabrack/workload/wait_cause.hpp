#ifndef BAOBABRACK_WORKLOAD_WAIT_CAUSE_HPP
#define BAOBABRACK_WORKLOAD_WAIT_CAUSE_HPP

#include <string_view>

#include "baobabrack/workload/placement.hpp"

namespace baobabrack::workload {

/// What a group of tasks waits for.
enum class wait_cause {
    /// There is not enough free capacity in total.
    capacity,
    /// The free capacity is enough in total, but no worker has enough of it.
    whole_worker,
    /// A rack-local gang would fit only across racks.
    rack,
    /// There is room, but it is reserved for another group, or closed by a trial.
    reserved,
    /// The group would fit on workers that are left out.
    excluded,
    /// The group would fit on hosts that the job avoids after its failures there.
    avoided_hosts,
};

/// @return the name in log fields
std::string_view to_string(wait_cause cause);

/// Determines what a group waits for that has not been placed.
///
/// @param hosts    the workers that take new runs, with their free capacity
/// @param excluded the workers that are left out, with their free capacity
wait_cause find_wait_cause(const task_group& group, const candidates& hosts,
                           const candidates& excluded);

}  // namespace baobabrack::workload

#endif
