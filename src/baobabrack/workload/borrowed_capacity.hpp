#ifndef BAOBABRACK_WORKLOAD_BORROWED_CAPACITY_HPP
#define BAOBABRACK_WORKLOAD_BORROWED_CAPACITY_HPP

#include <cstdint>
#include <map>
#include <vector>

#include "baobabrack/workload/names.hpp"

namespace baobabrack::workload {

/// What a workspace's jobs of priority 0 need, against its guarantee, in accelerators.
struct guarantee_use {
    std::uint64_t demand = 0;
    std::uint64_t guaranteed = 0;

    bool is_within() const { return demand <= guaranteed; }
};

using guarantee_uses = std::map<workspace_id, guarantee_use>;

/// Runs of priority 0 that can only be stopped together: a single run or those of a gang.
struct run_unit {
    workspace_id workspace;
    std::vector<task_name> tasks;
    std::uint64_t accelerators = 0;
    /// Work lost by stopping the runs, in processor-seconds.
    double lost_work = 0;
};

/// Selects the units that use accelerators beyond the guarantee of their workspace, which another
/// workspace may reclaim for its own guarantee.
///
/// A workspace that needs no more than its guarantee keeps all its units. Of any other workspace,
/// units are kept in descending order of lost work as far as they fit into the guarantee together.
/// A unit that is larger than the guarantee always runs on borrowed accelerators.
///
/// @return the units that may be reclaimed, in the order given
std::vector<run_unit> find_borrowing_units(const std::vector<run_unit>& units,
                                           const guarantee_uses& uses);

}  // namespace baobabrack::workload

#endif
