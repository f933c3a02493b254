#include "baobabrack/workload/wait_cause.hpp"

#include <cstdint>

namespace baobabrack::workload {

namespace {

bool fits(const task_group& group, const candidates& hosts) {
    return group.spec->gang ? place(group, hosts, {}).has_value()
                            : !place_partial(group, hosts, {}).empty();
}

// Returns whether the free capacity of all hosts together is enough: for a gang as a whole, else
// for one task.
bool has_enough_in_total(const task_group& group, const candidates& hosts) {
    const std::uint64_t count = group.spec->gang ? group.tasks.size() : 1;
    std::uint64_t cpu = 0;
    std::uint64_t memory = 0;
    std::uint64_t accelerators = 0;
    for (const auto& host : hosts) {
        if (!host.closed && can_host(*host.facts, *group.spec)) {
            cpu += host.available.cpu.get();
            memory += host.available.memory.get();
            accelerators += host.available.accelerators.get();
        }
    }
    const auto& needed = group.spec->per_task;
    return cpu >= count * needed.cpu.get() && memory >= count * needed.memory.get() &&
           accelerators >= count * needed.accelerators.get();
}

}  // namespace

std::string_view to_string(wait_cause cause) {
    switch (cause) {
        case wait_cause::capacity:
            return "capacity";
        case wait_cause::whole_worker:
            return "whole_worker";
        case wait_cause::rack:
            return "rack";
        case wait_cause::reserved:
            return "reserved";
        case wait_cause::excluded:
            return "excluded";
        case wait_cause::avoided_hosts:
            return "avoided_hosts";
    }
    return "unknown";
}

wait_cause find_wait_cause(const task_group& group, const candidates& hosts,
                           const candidates& excluded) {
    if (fits(group, hosts)) {
        const bool across_racks =
            group.spec->gang && group.spec->rack_local && !place(group, hosts, fast_only);
        return across_racks ? wait_cause::rack : wait_cause::reserved;
    }
    auto unrestricted = group;
    unrestricted.excluded_hosts.clear();
    if (fits(unrestricted, hosts)) {
        return wait_cause::avoided_hosts;
    }
    auto all_hosts = hosts;
    all_hosts.insert(all_hosts.end(), excluded.begin(), excluded.end());
    if (fits(group, all_hosts)) {
        return wait_cause::excluded;
    }
    return has_enough_in_total(group, hosts) ? wait_cause::whole_worker : wait_cause::capacity;
}

}  // namespace baobabrack::workload
