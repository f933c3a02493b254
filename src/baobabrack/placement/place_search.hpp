#ifndef BAOBABRACK_PLACEMENT_PLACE_SEARCH_HPP
#define BAOBABRACK_PLACEMENT_PLACE_SEARCH_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "baobabrack/config.pb.h"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/resources.hpp"
#include "baobabrack/world/topology.hpp"

namespace baobabrack {

class capacity_view;
struct planned_job;

/// Members of a gang on one worker.
struct slot_share {
    worker_slot slot = 0;
    std::uint32_t count = 0;

    friend bool operator==(const slot_share&, const slot_share&) = default;
};

/// What a gang needs of the place it runs in.
struct place_query {
    resources unit;
    std::uint32_t members = 0;
    wire::Adjacency adjacency = wire::ADJACENCY_REGION;
    /// Empty: any.
    region_id region;
    data_centre_id data_centre;

    /// @return accelerators of the whole gang
    std::uint32_t accelerators() const { return members * unit.accelerators.get(); }

    friend bool operator==(const place_query&, const place_query&) = default;
};

place_query query_of(const wire::Shape& shape, const region_id& region,
                     const data_centre_id& data_centre);
place_query query_of(const planned_job& job);
place_query query_of(const wire::Guarantee& guarantee);

/// @return text such as "8 members of 1 accelerator, 4000 millicores, 8192 MiB on one rack"
std::string describe(const place_query& query);

/// Which of several places is chosen.
enum class fit_rule {
    /// The first in the order of the topology.
    first,
    /// The one that leaves least behind.
    tightest,
};

/// Large shapes that free accelerators are kept together for, as numbers of accelerators.
struct kept_sizes {
    /// What is free in all, of which the searched view may show a part.
    const capacity_view* free = nullptr;
    std::vector<std::uint32_t> on_worker;
    std::vector<std::uint32_t> on_rack;
};

/// @return how many of the accelerators no whole gang of one of the sizes can use
std::uint32_t stranded(std::uint32_t accelerators, const std::vector<std::uint32_t>& sizes);

/// Finds a place where the whole gang fits.
///
/// @param kept  shapes of which the place should spoil as few as it can; null for none
/// @return shares that sum up to the gang; nothing if no place holds it
std::optional<std::vector<slot_share>> find_place(const capacity_view& view,
                                                  const place_query& query, fit_rule rule,
                                                  const kept_sizes* kept = nullptr);

/// @return whether some place holds the whole gang
bool fits_somewhere(const capacity_view& view, const place_query& query);

/// @return most members of the query's size that one place holds
std::uint32_t most_members(const capacity_view& view, const place_query& query);

}  // namespace baobabrack

#endif
