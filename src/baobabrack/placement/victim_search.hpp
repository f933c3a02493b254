#ifndef BAOBABRACK_PLACEMENT_VICTIM_SEARCH_HPP
#define BAOBABRACK_PLACEMENT_VICTIM_SEARCH_HPP

#include <functional>
#include <optional>
#include <vector>

#include "baobabrack/placement/gang_table.hpp"
#include "baobabrack/placement/place_search.hpp"

namespace baobabrack {

class capacity_view;
class fleet_index;

/// A place that is made free by stopping gangs.
struct cleared_place {
    std::vector<slot_share> place;
    std::vector<gang_table::gang_index> victims;
    /// Sum of the victims' stop costs.
    double cost = 0;
};

/// What a stop of the gang costs; nothing if the gang must not be stopped.
using stop_cost = std::function<std::optional<double>(const active_gang&)>;

/// Searches for the place that costs least to clear for a gang.
class victim_search {
public:
    /// @param index what is available
    /// @param gangs what runs
    victim_search(const fleet_index& index, const gang_table& gangs)
        : index_(index), gangs_(gangs) {}

    /// Tries every worker, rack, data centre or region, as the gang's adjacency asks.
    ///
    /// @param limit    what each worker may give at most; null for no limit
    /// @param most     highest acceptable cost
    std::optional<cleared_place> best(const place_query& query, const capacity_view* limit,
                                      const stop_cost& cost, double most) const;

    /// Clears given workers, of which each must give a given count.
    std::optional<cleared_place> clear(const std::vector<slot_share>& place, const resources& unit,
                                       const stop_cost& cost) const;

private:
    std::optional<cleared_place> among(const std::vector<worker_slot>& slots,
                                       const place_query& query, const capacity_view* limit,
                                       const stop_cost& cost, double most) const;

    const fleet_index& index_;
    const gang_table& gangs_;
};

}  // namespace baobabrack

#endif
