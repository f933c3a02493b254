#include "baobabrack/workload/placement.hpp"

#include <algorithm>
#include <limits>
#include <set>

namespace baobabrack::workload {

namespace {

using host_list = std::vector<const candidate*>;

bool has_label(const candidate& host, const label& wanted) {
    return wanted.get().empty() ||
           std::find(host.labels.begin(), host.labels.end(), wanted) != host.labels.end();
}

std::uint32_t already_on(const task_group& group, const host_id& host) {
    const auto found = group.on_host.find(host);
    return found == group.on_host.end() ? 0 : found->second;
}

/// @return how many tasks of the group the host can take
std::uint32_t room(const task_group& group, const candidate& host) {
    if (!has_label(host, group.spec->required)) {
        return 0;
    }
    auto count = host.left.times(group.spec->per_task);
    if (group.spec->most_per_worker > 0) {
        const auto have = already_on(group, host.host);
        const auto most = group.spec->most_per_worker;
        count = std::min(count, most > have ? most - have : 0U);
    }
    return count;
}

/// Fullest host first, so that whole hosts stay free.
host_list by_best_fit(const task_group& group, host_list hosts) {
    std::erase_if(hosts, [&](const candidate* host) { return room(group, *host) == 0; });
    std::sort(hosts.begin(), hosts.end(), [](const candidate* left, const candidate* right) {
        return std::tie(left->left.accelerators, left->left.cpu, left->host) <
               std::tie(right->left.accelerators, right->left.cpu, right->host);
    });
    return hosts;
}

std::optional<std::vector<placed_task>> fill(const task_group& group, const host_list& hosts) {
    std::vector<placed_task> places;
    for (const auto* host : by_best_fit(group, hosts)) {
        const auto count = room(group, *host);
        for (std::uint32_t taken = 0; taken < count && places.size() < group.tasks.size();
             ++taken) {
            places.push_back({.index = group.tasks[places.size()], .host = host->host});
        }
    }
    if (places.size() < group.tasks.size()) {
        return std::nullopt;
    }
    return places;
}

/// @return accelerators that are left on hosts of a rack after the group took its share
std::uint32_t total_left(const host_list& hosts) {
    std::uint32_t total = 0;
    for (const auto* host : hosts) {
        total += host->left.accelerators.get();
    }
    return total;
}

std::map<rack_id, host_list> by_rack(const candidates& from) {
    std::map<rack_id, host_list> racks;
    for (const auto& host : from) {
        racks[host.rack].push_back(&host);
    }
    return racks;
}

host_list in_rack(const candidates& from, const rack_id& rack) {
    host_list hosts;
    for (const auto& host : from) {
        if (host.rack == rack) {
            hosts.push_back(&host);
        }
    }
    return hosts;
}

/// One rack for the whole group: the one that is left with the least.
std::optional<std::vector<placed_task>> fill_one_rack(const task_group& group,
                                                      const candidates& from) {
    std::optional<std::vector<placed_task>> best;
    std::uint32_t best_left = std::numeric_limits<std::uint32_t>::max();
    for (const auto& [rack, hosts] : by_rack(from)) {
        auto places = fill(group, hosts);
        const auto left = total_left(hosts);
        if (places && left < best_left) {
            best = std::move(places);
            best_left = left;
        }
    }
    return best;
}

}  // namespace

std::optional<std::vector<placed_task>> place(const task_group& group, const candidates& from,
                                              const placement_limits& limits) {
    const auto& data_rack = group.spec->data_rack;
    if (!data_rack.get().empty()) {
        if (auto near = fill(group, in_rack(from, data_rack))) {
            return near;
        }
        if (!limits.remote) {
            return std::nullopt;
        }
    }
    const bool one_rack = group.spec->gang && group.spec->rack_local;
    if (auto together = fill_one_rack(group, from)) {
        return together;
    }
    if (one_rack && !limits.spread) {
        return std::nullopt;
    }
    host_list hosts;
    for (const auto& host : from) {
        hosts.push_back(&host);
    }
    return fill(group, hosts);
}

void take(candidates& from, const task_group& group, const std::vector<placed_task>& places) {
    for (const auto& placed : places) {
        const auto host = std::find_if(from.begin(), from.end(), [&](const candidate& one) {
            return one.host == placed.host;
        });
        if (host != from.end()) {
            host->left.subtract(group.spec->per_task);
        }
    }
}

}  // namespace baobabrack::workload
