#ifndef BAOBABRACK_WORLD_TOPOLOGY_HPP
#define BAOBABRACK_WORLD_TOPOLOGY_HPP

#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "baobabrack/units/ids.hpp"
#include "baobabrack/world/fleet.hpp"

namespace baobabrack {

/// Index of a worker within a topology; reused after the worker has been removed.
using worker_slot = std::uint32_t;

/// Assigns dense indexes to workers, racks, data centres and regions, so that tables about them can
/// be arrays that are scanned.
class topology {
public:
    struct rack_node {
        rack_id id;
        std::uint32_t centre = 0;
        std::vector<worker_slot> workers;
    };
    struct centre_node {
        data_centre_id id;
        std::uint32_t region = 0;
        std::vector<std::uint32_t> racks;
    };
    struct region_node {
        region_id id;
        std::vector<std::uint32_t> centres;
    };
    struct slot_node {
        worker_id id;
        std::uint32_t rack = 0;
        bool present = false;
    };

    /// Adds a worker unless one with this id is present.
    ///
    /// @return the worker's slot
    worker_slot add(const worker& joined);

    /// Removes a worker; its slot may be reused for another one.
    void remove(const worker_id& id);

    /// @return the worker's slot; `no_slot` if the worker is not present
    worker_slot find(const worker_id& id) const;

    const slot_node& slot(worker_slot index) const { return slots_[index]; }
    const rack_node& rack(std::uint32_t index) const { return racks_[index]; }
    const centre_node& centre(std::uint32_t index) const { return centres_[index]; }
    const region_node& region(std::uint32_t index) const { return regions_[index]; }

    std::size_t slot_count() const { return slots_.size(); }
    std::size_t rack_count() const { return racks_.size(); }
    std::size_t centre_count() const { return centres_.size(); }
    std::size_t region_count() const { return regions_.size(); }

    static constexpr worker_slot no_slot = ~worker_slot{0};

private:
    std::uint32_t region_index(const region_id& id);
    std::uint32_t centre_index(const location& place);
    std::uint32_t rack_index(const location& place);

    std::vector<slot_node> slots_;
    std::vector<worker_slot> free_slots_;
    std::vector<rack_node> racks_;
    std::vector<centre_node> centres_;
    std::vector<region_node> regions_;
    std::unordered_map<worker_id, worker_slot> by_id_;
    std::unordered_map<std::string, std::uint32_t> rack_by_path_;
    std::unordered_map<std::string, std::uint32_t> centre_by_path_;
    std::unordered_map<region_id, std::uint32_t> region_by_id_;
};

}  // namespace baobabrack

#endif
