#include "baobabrack/placement/place_search.hpp"

#include <algorithm>
#include <bit>
#include <limits>
#include <sstream>
#include <tuple>

#include "baobabrack/placement/capacity_view.hpp"
#include "baobabrack/placement/planner.hpp"

namespace baobabrack {

namespace {

using shares = std::vector<slot_share>;

bool admits(const topology& places, std::uint32_t centre, const place_query& query) {
    const auto& node = places.centre(centre);
    return (query.data_centre.get().empty() || query.data_centre == node.id) &&
           (query.region.get().empty() || query.region == places.region(node.region).id);
}

/// Calls `visit(rack)` for each rack that the query admits.
template <typename Visit>
void each_rack(const topology& places, const place_query& query, Visit visit) {
    for (std::uint32_t centre = 0; centre < places.centre_count(); ++centre) {
        if (!admits(places, centre, query)) {
            continue;
        }
        for (const auto rack : places.centre(centre).racks) {
            visit(rack);
        }
    }
}

/// Keeps the candidate of the least score; the first one of all under the rule `first`.
class choice {
public:
    using score = std::tuple<std::uint32_t, std::uint32_t, std::uint32_t>;

    explicit choice(fit_rule rule) : rule_(rule) {}

    void offer(std::uint32_t candidate, const score& value) {
        if (found_ && (rule_ == fit_rule::first || value >= best_)) {
            return;
        }
        found_ = true;
        chosen_ = candidate;
        best_ = value;
    }

    std::optional<std::uint32_t> chosen() const {
        return found_ ? std::optional(chosen_) : std::nullopt;
    }

private:
    fit_rule rule_;
    bool found_ = false;
    std::uint32_t chosen_ = 0;
    score best_;
};

/// Whether using the rack for this query takes processors away from free accelerators.
bool wastes_accelerators(const capacity_view& view, std::uint32_t rack, const place_query& query) {
    return query.unit.accelerators.get() == 0 && view.rack_accelerators(rack) > 0;
}

std::uint32_t idle_accelerators(const capacity_view& view, worker_slot slot,
                                const place_query& query) {
    return query.unit.accelerators.get() == 0 ? view.at(slot).accelerators.get() : 0;
}

std::uint64_t fits_from(const member_counts& sums, std::uint32_t rack, std::uint32_t wanted) {
    const auto first = std::min(wanted, capacity_view::last_fit_bit);
    return sums.rack_fits[rack] >> first << first;
}

/// How many accelerators more are stranded once the gang stands on a worker with so many free.
std::uint32_t newly_stranded(const kept_sizes* kept, std::uint32_t rack, std::uint32_t on_worker,
                             std::uint32_t taken) {
    if (kept == nullptr || taken == 0) {
        return 0;
    }
    const auto on_rack = kept->free->rack_accelerators(rack);
    const auto after =
        stranded(on_worker - taken, kept->on_worker) + stranded(on_rack - taken, kept->on_rack);
    const auto before = stranded(on_worker, kept->on_worker) + stranded(on_rack, kept->on_rack);
    // Both sides move by less than what is taken, so the sum stays positive.
    return after + 2 * taken - std::min(before, after + 2 * taken);
}

/// Worker of the rack that holds so many members, or more where that is not told apart.
worker_slot worker_with(const capacity_view& view, const place_query& query, std::uint32_t rack,
                        std::uint32_t wanted, fit_rule rule) {
    choice workers(rule);
    for (const auto slot : view.places().rack(rack).workers) {
        const auto fits = capacity_view::fit(view.at(slot), query.unit);
        if (fits >= wanted) {
            workers.offer(slot, {fits, idle_accelerators(view, slot, query), 0});
        }
    }
    return *workers.chosen();
}

std::optional<shares> on_worker(const capacity_view& view, const member_counts& sums,
                                const place_query& query, fit_rule rule, const kept_sizes* kept) {
    struct candidate {
        std::uint32_t rack = 0;
        std::uint32_t fits = 0;
    };
    std::vector<candidate> candidates;
    choice best(rule);
    const auto unit = query.unit.accelerators.get();
    each_rack(view.places(), query, [&](std::uint32_t rack) {
        auto bits = fits_from(sums, rack, query.members);
        for (; bits != 0; bits &= bits - 1) {
            const auto fits = static_cast<std::uint32_t>(std::countr_zero(bits));
            const auto spoiled = newly_stranded(kept, rack, fits * unit, query.members * unit);
            best.offer(static_cast<std::uint32_t>(candidates.size()),
                       {spoiled + (wastes_accelerators(view, rack, query) ? 1 : 0),
                        kept == nullptr ? fits : sums.rack_total[rack],
                        kept == nullptr ? sums.rack_total[rack] : fits});
            candidates.push_back({rack, fits});
        }
    });
    const auto chosen = best.chosen();
    if (!chosen) {
        return std::nullopt;
    }
    const auto& place = candidates[*chosen];
    const auto wanted = std::max(place.fits, query.members);
    return shares{{worker_with(view, query, place.rack,
                               rule == fit_rule::first ? query.members : wanted, rule),
                   query.members}};
}

/// Takes members from the rack's workers, the ones with least room first.
void take_from_rack(const capacity_view& view, std::uint32_t rack, const place_query& query,
                    fit_rule rule, std::uint32_t& wanted, shares& taken) {
    struct room {
        std::uint32_t idle;
        std::uint32_t fits;
        worker_slot slot;
    };
    std::vector<room> rooms;
    for (const auto slot : view.places().rack(rack).workers) {
        const auto fits = capacity_view::fit(view.at(slot), query.unit);
        if (fits > 0) {
            rooms.push_back({idle_accelerators(view, slot, query), fits, slot});
        }
    }
    if (rule == fit_rule::tightest) {
        std::stable_sort(rooms.begin(), rooms.end(), [](const room& left, const room& right) {
            return std::tie(left.idle, left.fits) < std::tie(right.idle, right.fits);
        });
    }
    for (const auto& one : rooms) {
        if (wanted == 0) {
            return;
        }
        const auto count = std::min(one.fits, wanted);
        taken.push_back({one.slot, count});
        wanted -= count;
    }
}

std::optional<shares> on_rack(const capacity_view& view, const member_counts& sums,
                              const place_query& query, fit_rule rule, const kept_sizes* kept) {
    choice racks(rule);
    each_rack(view.places(), query, [&](std::uint32_t rack) {
        if (sums.rack_total[rack] >= query.members) {
            const auto spoiled =
                newly_stranded(kept, rack, query.accelerators(), query.accelerators());
            racks.offer(rack, {spoiled + (wastes_accelerators(view, rack, query) ? 1 : 0),
                               sums.rack_total[rack], rack});
        }
    });
    const auto rack = racks.chosen();
    if (!rack) {
        return std::nullopt;
    }
    shares taken;
    auto wanted = query.members;
    take_from_rack(view, *rack, query, rule, wanted, taken);
    return taken;
}

shares over_racks(const capacity_view& view, const member_counts& sums, const place_query& query,
                  std::vector<std::uint32_t> racks, fit_rule rule) {
    if (rule == fit_rule::tightest) {
        std::stable_sort(racks.begin(), racks.end(), [&](std::uint32_t left, std::uint32_t right) {
            return sums.rack_total[left] < sums.rack_total[right];
        });
    }
    shares taken;
    auto wanted = query.members;
    for (const auto rack : racks) {
        if (wanted == 0) {
            break;
        }
        if (sums.rack_total[rack] > 0) {
            take_from_rack(view, rack, query, rule, wanted, taken);
        }
    }
    return taken;
}

std::optional<shares> on_centre(const capacity_view& view, const member_counts& sums,
                                const place_query& query, fit_rule rule) {
    const auto& places = view.places();
    choice centres(rule);
    for (std::uint32_t centre = 0; centre < places.centre_count(); ++centre) {
        if (admits(places, centre, query) && sums.centre_total[centre] >= query.members) {
            centres.offer(centre, {0, sums.centre_total[centre], centre});
        }
    }
    const auto centre = centres.chosen();
    if (!centre) {
        return std::nullopt;
    }
    return over_racks(view, sums, query, places.centre(*centre).racks, rule);
}

std::optional<shares> on_region(const capacity_view& view, const member_counts& sums,
                                const place_query& query, fit_rule rule) {
    if (auto within_centre = on_centre(view, sums, query, rule)) {
        return within_centre;
    }
    if (!query.data_centre.get().empty()) {
        return std::nullopt;
    }
    const auto& places = view.places();
    choice regions(rule);
    for (std::uint32_t region = 0; region < places.region_count(); ++region) {
        const bool admitted =
            query.region.get().empty() || query.region == places.region(region).id;
        if (admitted && sums.region_total[region] >= query.members) {
            regions.offer(region, {0, sums.region_total[region], region});
        }
    }
    const auto region = regions.chosen();
    if (!region) {
        return std::nullopt;
    }
    std::vector<std::uint32_t> racks;
    for (const auto centre : places.region(*region).centres) {
        const auto& within = places.centre(centre).racks;
        racks.insert(racks.end(), within.begin(), within.end());
    }
    return over_racks(view, sums, query, std::move(racks), rule);
}

std::uint32_t most_of_racks(const topology& places, const place_query& query,
                            const std::vector<std::uint32_t>& per_rack) {
    std::uint32_t most = 0;
    each_rack(places, query, [&](std::uint32_t rack) { most = std::max(most, per_rack[rack]); });
    return most;
}

std::uint32_t most_of_centres(const topology& places, const place_query& query,
                              const member_counts& sums) {
    std::uint32_t most = 0;
    for (std::uint32_t centre = 0; centre < places.centre_count(); ++centre) {
        if (admits(places, centre, query)) {
            most = std::max(most, sums.centre_total[centre]);
        }
    }
    return most;
}

std::uint32_t most_of_regions(const topology& places, const place_query& query,
                              const member_counts& sums) {
    if (!query.data_centre.get().empty()) {
        return most_of_centres(places, query, sums);
    }
    std::uint32_t most = 0;
    for (std::uint32_t region = 0; region < places.region_count(); ++region) {
        if (query.region.get().empty() || query.region == places.region(region).id) {
            most = std::max(most, sums.region_total[region]);
        }
    }
    return most;
}

const char* level_name(wire::Adjacency adjacency) {
    switch (adjacency) {
        case wire::ADJACENCY_WORKER:
            return "one worker";
        case wire::ADJACENCY_RACK:
            return "one rack";
        case wire::ADJACENCY_DATA_CENTRE:
            return "one data centre";
        default:
            return "one region";
    }
}

}  // namespace

place_query query_of(const wire::Shape& shape, const region_id& region,
                     const data_centre_id& data_centre) {
    return {.unit = from_wire(shape.per_member()),
            .members = std::max(shape.members(), 1U),
            .adjacency = shape.adjacency() == wire::ADJACENCY_UNSPECIFIED ? wire::ADJACENCY_REGION
                                                                          : shape.adjacency(),
            .region = region,
            .data_centre = data_centre};
}

place_query query_of(const planned_job& job) {
    return query_of(job.shape, job.region, job.data_centre);
}

place_query query_of(const wire::Guarantee& guarantee) {
    return query_of(guarantee.shape(), region_id{guarantee.region()},
                    data_centre_id{guarantee.data_centre()});
}

std::string describe(const place_query& query) {
    std::ostringstream text;
    text << query.members << " members of " << query.unit.accelerators << " accelerators, "
         << query.unit.cpu << " millicores and " << query.unit.memory << " MiB on "
         << level_name(query.adjacency);
    if (!query.data_centre.get().empty()) {
        text << " in data centre " << query.data_centre;
    } else if (!query.region.get().empty()) {
        text << " in region " << query.region;
    }
    return text.str();
}

std::uint32_t stranded(std::uint32_t accelerators, const std::vector<std::uint32_t>& sizes) {
    std::uint32_t usable = 0;
    for (const auto size : sizes) {
        usable = std::max(usable, accelerators / size * size);
    }
    return sizes.empty() ? 0 : accelerators - usable;
}

std::optional<std::vector<slot_share>> find_place(const capacity_view& view,
                                                  const place_query& query, fit_rule rule,
                                                  const kept_sizes* kept) {
    const auto& sums = view.counts(query.unit);
    switch (query.adjacency) {
        case wire::ADJACENCY_WORKER:
            return on_worker(view, sums, query, rule, kept);
        case wire::ADJACENCY_RACK:
            return on_rack(view, sums, query, rule, kept);
        case wire::ADJACENCY_DATA_CENTRE:
            return on_centre(view, sums, query, rule);
        default:
            return on_region(view, sums, query, rule);
    }
}

std::uint32_t most_members(const capacity_view& view, const place_query& query) {
    const auto& sums = view.counts(query.unit);
    switch (query.adjacency) {
        case wire::ADJACENCY_WORKER:
            return most_of_racks(view.places(), query, sums.rack_best);
        case wire::ADJACENCY_RACK:
            return most_of_racks(view.places(), query, sums.rack_total);
        case wire::ADJACENCY_DATA_CENTRE:
            return most_of_centres(view.places(), query, sums);
        default:
            return most_of_regions(view.places(), query, sums);
    }
}

bool fits_somewhere(const capacity_view& view, const place_query& query) {
    return most_members(view, query) >= query.members;
}

}  // namespace baobabrack
