#ifndef BAOBABRACK_PLACEMENT_CAPACITY_VIEW_HPP
#define BAOBABRACK_PLACEMENT_CAPACITY_VIEW_HPP

#include <cstdint>
#include <memory>
#include <vector>

#include "baobabrack/units/resources.hpp"
#include "baobabrack/world/topology.hpp"

namespace baobabrack {

/// How many members of one size fit, per rack, data centre and region.
struct member_counts {
    resources unit;
    std::vector<std::uint32_t> rack_total;
    /// Most members on one worker of the rack.
    std::vector<std::uint32_t> rack_best;
    /// Bit n is set if a worker of the rack holds exactly n members; the last bit, that many or
    /// more.
    std::vector<std::uint64_t> rack_fits;
    std::vector<std::uint32_t> centre_total;
    std::vector<std::uint32_t> region_total;
    std::uint64_t last_used = 0;
};

/// One amount of resources per worker, summed over racks, data centres and regions for every
/// member size that is asked for. A change costs the number of sizes times the workers of a rack.
class capacity_view {
public:
    /// Counts from here on share a bit of `rack_fits`.
    static constexpr std::uint32_t last_fit_bit = 63;

    /// @param places outlives the view
    explicit capacity_view(const topology& places) : places_(places) {}

    /// Sets a worker's amount. A worker that leaves is set to nothing before it is removed from
    /// the topology.
    void set(worker_slot slot, const resources& amount);

    /// @return the worker's amount; nothing for one never set
    const resources& at(worker_slot slot) const;

    /// @return sums for a member size, made on first use and then kept up
    const member_counts& counts(const resources& unit) const;

    /// @return the sum of accelerators over a rack
    std::uint32_t rack_accelerators(std::uint32_t rack) const;

    /// @return the sum of accelerators over all workers
    std::uint64_t accelerators() const { return accelerators_; }

    const topology& places() const { return places_; }

    /// Members counted on one worker at most, also for a size of nothing.
    static constexpr std::uint32_t worker_limit = 1 << 12;

    /// @return how often the unit fits into the amount, at most `worker_limit`
    static std::uint32_t fit(const resources& amount, const resources& unit);

private:
    void change(member_counts& sums, worker_slot slot, const resources& before) const;
    void resize(member_counts& sums) const;
    void sum_up(member_counts& sums) const;
    void review_rack(member_counts& sums, std::uint32_t rack) const;

    const topology& places_;
    std::vector<resources> amounts_;
    std::vector<std::uint32_t> rack_accelerators_;
    std::uint64_t accelerators_ = 0;
    mutable std::vector<std::unique_ptr<member_counts>> sums_;
    mutable std::uint64_t uses_ = 0;
};

}  // namespace baobabrack

#endif
