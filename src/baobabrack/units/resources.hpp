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

/// An amount of every resource of a worker.
struct resources {
    cpu_millicores cpu;
    memory_mib memory;
    accelerator_count accelerators;

    friend bool operator==(const resources&, const resources&) = default;

    /// @return whether `part` fits into this amount in every resource
    bool can_fit(const resources& part) const;

    /// @return how many times `part` fits; the largest count if `part` is nothing
    std::uint32_t fit_count(const resources& part) const;

    /// Adds `count` times `part`.
    void add(const resources& part, std::uint32_t count = 1);

    /// Takes `count` times `part` away; the caller has made sure that it fits.
    void subtract(const resources& part, std::uint32_t count = 1);
};

resources from_wire(const wire::Resources& amount);
wire::Resources to_wire(const resources& amount);

}  // namespace baobabrack

#endif
