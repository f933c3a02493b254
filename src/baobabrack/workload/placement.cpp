#include "baobabrack/workload/placement.hpp"

#include <algorithm>
#include <limits>
#include <tuple>

namespace baobabrack::workload {

namespace {

/// The number of tasks of a group that fit on a host.
struct host_fit {
    std::size_t host_index = 0;
    std::uint32_t tasks = 0;
};

using host_fits = std::vector<host_fit>;

bool has_label(const worker_facts& facts, const label& required) {
    return required.get().empty() ||
           std::find(facts.labels.begin(), facts.labels.end(), required) != facts.labels.end();
}

host_fits find_fits(const task_group& group, const candidates& hosts, const rack_id* rack,
                    bool include_degraded) {
    host_fits found;
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        if (hosts[index].degraded && !include_degraded) {
            continue;
        }
        if (rack != nullptr && hosts[index].facts->rack != *rack) {
            continue;
        }
        const auto tasks = task_capacity(group, hosts[index]);
        if (tasks > 0) {
            found.push_back({.host_index = index, .tasks = tasks});
        }
    }
    return found;
}

std::uint64_t total_tasks(const host_fits& fits) {
    std::uint64_t sum = 0;
    for (const auto& fit : fits) {
        sum += fit.tasks;
    }
    return sum;
}

// Starts with the host that has the least free capacity, so that empty hosts stay empty, or with
// the most if the group is on trial.
placed_tasks best_fit(const task_group& group, const candidates& hosts, host_fits fits) {
    std::sort(fits.begin(), fits.end(), [&](const host_fit& left, const host_fit& right) {
        const auto& left_host = hosts[left.host_index];
        const auto& right_host = hosts[right.host_index];
        if (group.on_trial) {
            return std::tie(left_host.degraded, right_host.available.accelerators,
                            right_host.available.cpu, left.host_index) <
                   std::tie(right_host.degraded, left_host.available.accelerators,
                            left_host.available.cpu, right.host_index);
        }
        return std::tie(left_host.degraded, left_host.available.accelerators,
                        left_host.available.cpu, left.host_index) <
               std::tie(right_host.degraded, right_host.available.accelerators,
                        right_host.available.cpu, right.host_index);
    });
    placed_tasks places;
    for (const auto& fit : fits) {
        for (std::uint32_t count = 0; count < fit.tasks && places.size() < group.tasks.size();
             ++count) {
            places.push_back({.index = group.tasks[places.size()], .host_index = fit.host_index});
        }
    }
    return places;
}

// Of the racks that fit the whole group, selects the one with the fewest free accelerators, or with
// the most if the group is on trial.
std::optional<host_fits> fits_in_one_rack(const task_group& group, const candidates& hosts,
                                          const host_fits& fits) {
    struct rack_capacity {
        std::uint64_t tasks = 0;
        std::uint64_t free_accelerators = 0;
    };
    std::map<const rack_id*, rack_capacity,
             decltype([](const rack_id* left, const rack_id* right) { return *left < *right; })>
        racks;
    for (const auto& fit : fits) {
        auto& capacity = racks[&hosts[fit.host_index].facts->rack];
        capacity.tasks += fit.tasks;
        capacity.free_accelerators += hosts[fit.host_index].available.accelerators.get();
    }
    const rack_id* best = nullptr;
    std::uint64_t best_free = 0;
    for (const auto& [rack, capacity] : racks) {
        const auto free = capacity.free_accelerators;
        const bool better =
            best == nullptr || (group.on_trial ? free > best_free : free < best_free);
        if (capacity.tasks >= group.tasks.size() && better) {
            best = rack;
            best_free = free;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    auto chosen = fits;
    std::erase_if(chosen,
                  [&](const host_fit& fit) { return hosts[fit.host_index].facts->rack != *best; });
    return chosen;
}

bool any_degraded(const candidates& hosts) {
    return std::any_of(hosts.begin(), hosts.end(),
                       [](const candidate& host) { return host.degraded; });
}

std::optional<placed_tasks> place_among(const task_group& group, const candidates& hosts,
                                        const placement_constraints& constraints,
                                        bool include_degraded) {
    const auto& data_rack = group.spec->data_rack;
    if (!data_rack.get().empty()) {
        auto local = find_fits(group, hosts, &data_rack, include_degraded);
        if (total_tasks(local) >= group.tasks.size()) {
            return best_fit(group, hosts, std::move(local));
        }
        if (!constraints.allow_remote) {
            return std::nullopt;
        }
    }
    auto fits = find_fits(group, hosts, nullptr, include_degraded);
    if (total_tasks(fits) < group.tasks.size()) {
        return std::nullopt;
    }
    if (auto in_rack = fits_in_one_rack(group, hosts, fits)) {
        return best_fit(group, hosts, std::move(*in_rack));
    }
    if (group.spec->gang && group.spec->rack_local && !constraints.allow_multiple_racks) {
        return std::nullopt;
    }
    return best_fit(group, hosts, std::move(fits));
}

}  // namespace

candidate make_candidate(const worker_facts& facts, const resources& used) {
    return {.facts = &facts,
            .available = remaining_resources(facts.capacity, used),
            .excess = remaining_resources(used, facts.capacity)};
}

bool can_host(const worker_facts& facts, const step_spec& step) {
    return has_label(facts, step.required_label) && facts.capacity.can_fit(step.per_task);
}

void release(candidate& host, const resources& amount) {
    const auto excess = remaining_resources(host.excess, amount);
    const auto absorbed = remaining_resources(host.excess, excess);
    host.available.add(remaining_resources(amount, absorbed));
    host.excess = excess;
}

std::uint32_t task_capacity(const task_group& group, const candidate& host) {
    const auto& spec = *group.spec;
    const bool excluded = std::find(group.excluded_hosts.begin(), group.excluded_hosts.end(),
                                    host.facts->instance.host) != group.excluded_hosts.end();
    if (excluded || host.closed || !has_label(*host.facts, spec.required_label)) {
        return 0;
    }
    auto count = host.available.fit_count(spec.per_task);
    if (spec.most_per_worker > 0) {
        const auto found = group.tasks_on_host.find(host.facts->instance.host);
        const auto present = found == group.tasks_on_host.end() ? 0 : found->second;
        count =
            std::min(count, spec.most_per_worker > present ? spec.most_per_worker - present : 0U);
    }
    return count;
}

std::optional<placed_tasks> place(const task_group& group, const candidates& hosts,
                                  const placement_constraints& constraints) {
    auto places = place_among(group, hosts, constraints, false);
    if (!places && any_degraded(hosts)) {
        places = place_among(group, hosts, constraints, true);
    }
    return places;
}

placed_tasks place_partial(const task_group& group, const candidates& hosts,
                           const placement_constraints& constraints) {
    const auto& data_rack = group.spec->data_rack;
    const bool local_only = !data_rack.get().empty() && !constraints.allow_remote;
    return best_fit(group, hosts, find_fits(group, hosts, local_only ? &data_rack : nullptr, true));
}

void allocate(candidates& hosts, const task_group& group, const placed_tasks& places) {
    for (const auto& placed : places) {
        hosts[placed.host_index].available.subtract(group.spec->per_task);
    }
}

}  // namespace baobabrack::workload
