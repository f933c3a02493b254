#ifndef BAOBABRACK_UNITS_RESOURCES_HPP
#define BAOBABRACK_UNITS_RESOURCES_HPP

#include <compare>
#include <cstdint>
#include <limits>

#include "baobabrack/units/strong_type.hpp"

namespace baobabrack {

namespace wire {
class Resources;
}

using cpu_millicores = strong_type<struct cpu_tag, std::uint32_t>;
using memory_mib = strong_type<struct memory_tag, std::uint32_t>;
using accelerator_count = strong_type<struct accelerator_tag, std::uint32_t>;

/// Amounts of all resource types of a worker.
struct resources {
    cpu_millicores cpu;
    memory_mib memory;
    accelerator_count accelerators;

    friend bool operator==(const resources&, const resources&) = default;

    /// @return whether this amount covers `requested` in every resource type
    bool can_fit(const resources& requested) const;

    /// @return how many times `requested` fits into this amount; the maximum of the type if
    /// `requested` is zero in every resource type
    std::uint32_t fit_count(const resources& requested) const;

    /// Adds `count` times `unit`.
    void add(const resources& unit, std::uint32_t count = 1);

    /// Subtracts `count` times `unit`, which must not exceed this amount in any resource type.
    void subtract(const resources& unit, std::uint32_t count = 1);
};

resources from_wire(const wire::Resources& amount);
wire::Resources to_wire(const resources& amount);

}  // namespace baobabrack

#endif
