#include "baobabrack/world/topology.hpp"

#include <algorithm>

namespace baobabrack {

namespace {

constexpr char path_separator = '\n';

std::string centre_path(const location& place) {
    return place.region.get() + path_separator + place.data_centre.get();
}

std::string rack_path(const location& place) {
    return centre_path(place) + path_separator + place.rack.get();
}

}  // namespace

std::uint32_t topology::region_index(const region_id& id) {
    const auto [found, added] =
        region_by_id_.emplace(id, static_cast<std::uint32_t>(regions_.size()));
    if (added) {
        regions_.push_back({.id = id, .centres = {}});
    }
    return found->second;
}

std::uint32_t topology::centre_index(const location& place) {
    const auto [found, added] =
        centre_by_path_.emplace(centre_path(place), static_cast<std::uint32_t>(centres_.size()));
    if (added) {
        const auto region = region_index(place.region);
        regions_[region].centres.push_back(found->second);
        centres_.push_back({.id = place.data_centre, .region = region, .racks = {}});
    }
    return found->second;
}

std::uint32_t topology::rack_index(const location& place) {
    const auto [found, added] =
        rack_by_path_.emplace(rack_path(place), static_cast<std::uint32_t>(racks_.size()));
    if (added) {
        const auto centre = centre_index(place);
        centres_[centre].racks.push_back(found->second);
        racks_.push_back({.id = place.rack, .centre = centre, .workers = {}});
    }
    return found->second;
}

worker_slot topology::add(const worker& joined) {
    if (const auto known = find(joined.id); known != no_slot) {
        return known;
    }
    const auto rack = rack_index(joined.place);
    if (free_slots_.empty()) {
        free_slots_.push_back(static_cast<worker_slot>(slots_.size()));
        slots_.emplace_back();
    }
    const auto slot = free_slots_.back();
    free_slots_.pop_back();
    slots_[slot] = {.id = joined.id, .rack = rack, .present = true};
    racks_[rack].workers.push_back(slot);
    by_id_.emplace(joined.id, slot);
    return slot;
}

void topology::remove(const worker_id& id) {
    const auto found = by_id_.find(id);
    if (found == by_id_.end()) {
        return;
    }
    auto& node = slots_[found->second];
    auto& workers = racks_[node.rack].workers;
    workers.erase(std::remove(workers.begin(), workers.end(), found->second), workers.end());
    node.present = false;
    free_slots_.push_back(found->second);
    by_id_.erase(found);
}

worker_slot topology::find(const worker_id& id) const {
    const auto found = by_id_.find(id);
    return found == by_id_.end() ? no_slot : found->second;
}

}  // namespace baobabrack
