#ifndef BAOBABRACK_PLACEMENT_GUARANTEE_REPORT_HPP
#define BAOBABRACK_PLACEMENT_GUARANTEE_REPORT_HPP

#include <cstdint>

#include "baobabrack/placement/place_search.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// State of one guarantee: how many of its gangs are where. The parts sum up to `promised`.
struct guarantee_report {
    place_query query;
    duration notice{};
    std::uint32_t promised = 0;
    /// Used by the workspace itself.
    std::uint32_t in_use = 0;
    /// Free, and can be started at once.
    std::uint32_t free = 0;
    /// Lent to work that is stopped when the workspace claims its guarantee.
    std::uint32_t borrowed = 0;
    /// Without a place since workers were lost.
    std::uint32_t missing = 0;

    /// @return how many can be started within the notice
    std::uint32_t reclaimable() const { return free + borrowed; }
};

}  // namespace baobabrack

#endif
