#include "baobabrack/workload/placement.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace baobabrack::workload {

namespace {

/// A host that can take some tasks of a group.
struct offer {
    std::size_t at = 0;
    std::uint32_t tasks = 0;
};

using offers = std::vector<offer>;

bool has_label(const worker_facts& facts, const label& wanted) {
    return wanted.get().empty() ||
           std::find(facts.labels.begin(), facts.labels.end(), wanted) != facts.labels.end();
}

offers offers_for(const task_group& group, const candidates& from, const rack_id* rack,
                  bool doubtful_too) {
    offers found;
    for (std::size_t at = 0; at < from.size(); ++at) {
        if (from[at].doubtful && !doubtful_too) {
            continue;
        }
        if (rack != nullptr && from[at].facts->rack != *rack) {
            continue;
        }
        const auto tasks = room_for(group, from[at]);
        if (tasks > 0) {
            found.push_back({.at = at, .tasks = tasks});
        }
    }
    return found;
}

std::uint64_t total(const offers& from) {
    std::uint64_t sum = 0;
    for (const auto& one : from) {
        sum += one.tasks;
    }
    return sum;
}

// Fullest host first, so that whole hosts stay free.
placed_tasks fill(const task_group& group, const candidates& from, offers hosts) {
    std::sort(hosts.begin(), hosts.end(), [&](const offer& left, const offer& right) {
        const auto& one = from[left.at];
        const auto& other = from[right.at];
        return std::tie(one.doubtful, one.left.accelerators, one.left.cpu, left.at) <
               std::tie(other.doubtful, other.left.accelerators, other.left.cpu, right.at);
    });
    placed_tasks places;
    for (const auto& host : hosts) {
        for (std::uint32_t taken = 0; taken < host.tasks && places.size() < group.tasks.size();
             ++taken) {
            places.push_back({.index = group.tasks[places.size()], .at = host.at});
        }
    }
    return places;
}

// One rack for the whole group: of those that suffice, the one with the least left.
std::optional<offers> in_one_rack(const task_group& group, const candidates& from,
                                  const offers& hosts) {
    struct rack_room {
        std::uint64_t tasks = 0;
        std::uint64_t accelerators_left = 0;
    };
    std::map<const rack_id*, rack_room,
             decltype([](const rack_id* left, const rack_id* right) { return *left < *right; })>
        racks;
    for (const auto& host : hosts) {
        auto& rack = racks[&from[host.at].facts->rack];
        rack.tasks += host.tasks;
        rack.accelerators_left += from[host.at].left.accelerators.get();
    }
    const rack_id* best = nullptr;
    auto least = std::numeric_limits<std::uint64_t>::max();
    for (const auto& [rack, room] : racks) {
        if (room.tasks >= group.tasks.size() && room.accelerators_left < least) {
            best = rack;
            least = room.accelerators_left;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    auto chosen = hosts;
    std::erase_if(chosen, [&](const offer& host) { return from[host.at].facts->rack != *best; });
    return chosen;
}

bool any_doubtful(const candidates& from) {
    return std::any_of(from.begin(), from.end(),
                       [](const candidate& host) { return host.doubtful; });
}

std::optional<placed_tasks> place_among(const task_group& group, const candidates& from,
                                        const placement_limits& limits, bool doubtful_too) {
    const auto& data_rack = group.spec->data_rack;
    if (!data_rack.get().empty()) {
        auto near = offers_for(group, from, &data_rack, doubtful_too);
        if (total(near) >= group.tasks.size()) {
            return fill(group, from, std::move(near));
        }
        if (!limits.remote) {
            return std::nullopt;
        }
    }
    auto hosts = offers_for(group, from, nullptr, doubtful_too);
    if (total(hosts) < group.tasks.size()) {
        return std::nullopt;
    }
    if (auto together = in_one_rack(group, from, hosts)) {
        return fill(group, from, std::move(*together));
    }
    if (group.spec->gang && group.spec->rack_local && !limits.spread) {
        return std::nullopt;
    }
    return fill(group, from, std::move(hosts));
}

}  // namespace

std::uint32_t room_for(const task_group& group, const candidate& host) {
    const auto& spec = *group.spec;
    const bool avoided = std::find(group.avoided.begin(), group.avoided.end(),
                                   host.facts->life.host) != group.avoided.end();
    if (avoided || !has_label(*host.facts, spec.required)) {
        return 0;
    }
    auto count = host.left.fit_count(spec.per_task);
    if (spec.most_per_worker > 0) {
        const auto found = group.on_host.find(host.facts->life.host);
        const auto have = found == group.on_host.end() ? 0 : found->second;
        count = std::min(count, spec.most_per_worker > have ? spec.most_per_worker - have : 0U);
    }
    return count;
}

std::optional<placed_tasks> place(const task_group& group, const candidates& from,
                                  const placement_limits& limits) {
    auto places = place_among(group, from, limits, false);
    if (!places && any_doubtful(from)) {
        places = place_among(group, from, limits, true);
    }
    return places;
}

placed_tasks place_some(const task_group& group, const candidates& from,
                        const placement_limits& limits) {
    const auto& data_rack = group.spec->data_rack;
    const bool near_only = !data_rack.get().empty() && !limits.remote;
    return fill(group, from, offers_for(group, from, near_only ? &data_rack : nullptr, true));
}

void take(candidates& from, const task_group& group, const placed_tasks& places) {
    for (const auto& placed : places) {
        from[placed.at].left.subtract(group.spec->per_task);
    }
}

}  // namespace baobabrack::workload
