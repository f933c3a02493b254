#include "baobabrack/placement/victim_search.hpp"

#include <algorithm>
#include <limits>
#include <unordered_map>

#include "baobabrack/placement/capacity_view.hpp"

namespace baobabrack {

namespace {

/// A gang that could be stopped, with its cost for each member that comes free in the place.
struct candidate {
    gang_table::gang_index gang = 0;
    double cost = 0;
    double cost_per_gain = 0;
};

/// What would be free on some workers if gangs were stopped.
class rooms {
public:
    rooms(const fleet_index& index, const std::vector<worker_slot>& slots) {
        for (const auto slot : slots) {
            free_.emplace(slot, index.available().at(slot));
        }
    }

    void free(const active_gang& gang) {
        for (const auto& member : gang.members) {
            const auto found = free_.find(member.slot);
            if (found != free_.end()) {
                found->second.add(gang.query.unit, member.count);
            }
        }
    }

    void occupy(const active_gang& gang) {
        for (const auto& member : gang.members) {
            const auto found = free_.find(member.slot);
            if (found != free_.end()) {
                found->second.subtract(gang.query.unit, member.count);
            }
        }
    }

    std::uint32_t fit(worker_slot slot, const resources& unit, const capacity_view* limit) const {
        const auto fits = capacity_view::fit(free_.at(slot), unit);
        return limit == nullptr ? fits : std::min(fits, capacity_view::fit(limit->at(slot), unit));
    }

    std::uint32_t total(const resources& unit, const capacity_view* limit,
                        std::uint32_t enough) const {
        std::uint32_t sum = 0;
        for (const auto& [slot, amount] : free_) {
            sum += fit(slot, unit, limit);
            if (sum >= enough) {
                break;
            }
        }
        return sum;
    }

private:
    std::unordered_map<worker_slot, resources> free_;
};

std::uint32_t gain_of(const active_gang& gang, const place_query& query) {
    const auto accelerators = query.unit.accelerators.get();
    if (accelerators == 0) {
        return std::max(gang.query.members, 1U);
    }
    return gang.query.accelerators();
}

std::vector<candidate> candidates_on(const gang_table& gangs, const std::vector<worker_slot>& slots,
                                     const place_query& query, const stop_cost& cost) {
    std::vector<candidate> found;
    for (const auto slot : slots) {
        for (const auto gang : gangs.on(slot)) {
            found.push_back({.gang = gang});
        }
    }
    std::sort(found.begin(), found.end(),
              [](const candidate& left, const candidate& right) { return left.gang < right.gang; });
    found.erase(std::unique(found.begin(), found.end(),
                            [](const candidate& left, const candidate& right) {
                                return left.gang == right.gang;
                            }),
                found.end());
    std::vector<candidate> usable;
    for (auto one : found) {
        const auto& gang = gangs.at(one.gang);
        const bool helps = query.unit.accelerators.get() == 0 || gang.query.accelerators() > 0;
        const auto price = gang.stopping || gang.starting || !helps ? std::nullopt : cost(gang);
        if (price) {
            one.cost = *price;
            one.cost_per_gain = *price / gain_of(gang, query);
            usable.push_back(one);
        }
    }
    std::sort(usable.begin(), usable.end(), [](const candidate& left, const candidate& right) {
        return left.cost_per_gain < right.cost_per_gain;
    });
    return usable;
}

/// Puts back victims that turned out not to be needed, the dearest first.
template <typename Enough>
void spare(rooms& space, const gang_table& gangs, std::vector<candidate>& victims, Enough enough) {
    std::sort(victims.begin(), victims.end(),
              [](const candidate& left, const candidate& right) { return left.cost > right.cost; });
    std::vector<candidate> needed;
    for (const auto& one : victims) {
        space.occupy(gangs.at(one.gang));
        if (!enough()) {
            space.free(gangs.at(one.gang));
            needed.push_back(one);
        }
    }
    victims = std::move(needed);
}

cleared_place to_cleared(const std::vector<candidate>& victims) {
    cleared_place cleared;
    for (const auto& one : victims) {
        cleared.victims.push_back(one.gang);
        cleared.cost += one.cost;
    }
    return cleared;
}

std::vector<slot_share> pick(const rooms& space, const std::vector<worker_slot>& slots,
                             const place_query& query, const capacity_view* limit) {
    auto order = slots;
    std::stable_sort(order.begin(), order.end(), [&](worker_slot left, worker_slot right) {
        return space.fit(left, query.unit, limit) < space.fit(right, query.unit, limit);
    });
    std::vector<slot_share> place;
    auto wanted = query.members;
    for (const auto slot : order) {
        const auto count = std::min(wanted, space.fit(slot, query.unit, limit));
        if (count > 0) {
            place.push_back({slot, count});
            wanted -= count;
        }
    }
    return place;
}

bool admitted(const topology& places, std::uint32_t centre, const place_query& query) {
    const auto& node = places.centre(centre);
    return (query.data_centre.get().empty() || node.id == query.data_centre) &&
           (query.region.get().empty() || places.region(node.region).id == query.region);
}

}  // namespace

std::optional<cleared_place> victim_search::among(const std::vector<worker_slot>& slots,
                                                  const place_query& query,
                                                  const capacity_view* limit, const stop_cost& cost,
                                                  double most) const {
    rooms space(index_, slots);
    const auto enough = [&] {
        return space.total(query.unit, limit, query.members) >= query.members;
    };
    std::vector<candidate> victims;
    double spent = 0;
    for (const auto& one : candidates_on(gangs_, slots, query, cost)) {
        if (enough()) {
            break;
        }
        space.free(gangs_.at(one.gang));
        victims.push_back(one);
        spent += one.cost;
    }
    if (!enough()) {
        return std::nullopt;
    }
    spare(space, gangs_, victims, enough);
    auto cleared = to_cleared(victims);
    if (cleared.cost > most) {
        return std::nullopt;
    }
    cleared.place = pick(space, slots, query, limit);
    return cleared;
}

std::optional<cleared_place> victim_search::clear(const std::vector<slot_share>& place,
                                                  const resources& unit,
                                                  const stop_cost& cost) const {
    std::vector<worker_slot> slots;
    for (const auto& share : place) {
        slots.push_back(share.slot);
    }
    rooms space(index_, slots);
    const auto enough = [&] {
        return std::all_of(place.begin(), place.end(), [&](const slot_share& share) {
            return space.fit(share.slot, unit, nullptr) >= share.count;
        });
    };
    place_query query;
    query.unit = unit;
    std::vector<candidate> victims;
    for (const auto& one : candidates_on(gangs_, slots, query, cost)) {
        if (enough()) {
            break;
        }
        space.free(gangs_.at(one.gang));
        victims.push_back(one);
    }
    if (!enough()) {
        return std::nullopt;
    }
    spare(space, gangs_, victims, enough);
    auto cleared = to_cleared(victims);
    cleared.place = place;
    return cleared;
}

std::optional<cleared_place> victim_search::best(const place_query& query,
                                                 const capacity_view* limit, const stop_cost& cost,
                                                 double most) const {
    std::optional<cleared_place> cheapest;
    const auto consider = [&](const std::vector<worker_slot>& slots) {
        auto cleared = among(slots, query, limit, cost, most);
        if (cleared && (!cheapest || cleared->cost < cheapest->cost)) {
            most = cleared->cost;
            cheapest = std::move(cleared);
        }
    };
    const auto& places = index_.places();
    const auto& whole = index_.capacity().counts(query.unit);
    const auto in_rack = [&](std::uint32_t rack) {
        if (query.adjacency == wire::ADJACENCY_WORKER && whole.rack_best[rack] >= query.members) {
            for (const auto slot : places.rack(rack).workers) {
                consider({slot});
            }
        } else if (query.adjacency == wire::ADJACENCY_RACK &&
                   whole.rack_total[rack] >= query.members) {
            consider(places.rack(rack).workers);
        }
    };
    std::vector<std::vector<worker_slot>> regions(places.region_count());
    for (std::uint32_t centre = 0; centre < places.centre_count(); ++centre) {
        if (!admitted(places, centre, query)) {
            continue;
        }
        std::vector<worker_slot> in_centre;
        for (const auto rack : places.centre(centre).racks) {
            in_rack(rack);
            const auto& workers = places.rack(rack).workers;
            in_centre.insert(in_centre.end(), workers.begin(), workers.end());
        }
        if (query.adjacency >= wire::ADJACENCY_DATA_CENTRE) {
            consider(in_centre);
        }
        auto& region = regions[places.centre(centre).region];
        region.insert(region.end(), in_centre.begin(), in_centre.end());
    }
    if (query.adjacency == wire::ADJACENCY_REGION) {
        for (const auto& slots : regions) {
            consider(slots);
        }
    }
    return cheapest;
}

}  // namespace baobabrack
