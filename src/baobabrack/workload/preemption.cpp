#include "baobabrack/workload/preemption.hpp"

#include <algorithm>
#include <set>

namespace baobabrack::workload {

namespace {

// As the users weigh thrown-away work.
constexpr double processors_per_accelerator = 8;
constexpr double millicores_per_processor = 1000;

void give_back(candidates& hosts, const victim& stopped) {
    for (auto& host : hosts) {
        const auto held = stopped.held.find(host.host);
        if (held != stopped.held.end()) {
            host.left.add(held->second);
        }
    }
}

bool touches(const victim& one, const candidates& hosts) {
    return std::any_of(hosts.begin(), hosts.end(),
                       [&](const candidate& host) { return one.held.contains(host.host); });
}

candidates without(const candidates& scope, const std::vector<const victim*>& chosen,
                   const victim* spared) {
    auto hosts = scope;
    for (const auto* one : chosen) {
        if (one != spared) {
            give_back(hosts, *one);
        }
    }
    return hosts;
}

std::optional<preemption> search(const task_group& group, const candidates& scope,
                                 const std::vector<victim>& victims,
                                 const placement_limits& limits) {
    auto hosts = scope;
    std::vector<const victim*> chosen;
    auto places = place(group, hosts, limits);
    for (auto each = victims.begin(); !places && each != victims.end(); ++each) {
        if (touches(*each, scope)) {
            give_back(hosts, *each);
            chosen.push_back(&*each);
            places = place(group, hosts, limits);
        }
    }
    if (!places) {
        return std::nullopt;
    }
    // The dearest ones first: later, cheaper ones may have made them needless.
    for (auto at = chosen.size(); at > 0; --at) {
        const auto* one = chosen[at - 1];
        if (auto spared = place(group, without(scope, chosen, one), limits)) {
            places = std::move(spared);
            chosen.erase(chosen.begin() + static_cast<std::ptrdiff_t>(at) - 1);
        }
    }
    preemption found{.victims = {}, .places = std::move(*places), .loss = 0};
    for (const auto* one : chosen) {
        found.victims.push_back(*one);
        found.loss += one->loss;
    }
    return found;
}

std::vector<candidates> scopes(const candidates& free) {
    std::map<rack_id, candidates> racks;
    std::vector<candidates> all;
    for (const auto& host : free) {
        racks[host.rack].push_back(host);
        all.push_back({host});
    }
    for (auto& [rack, hosts] : racks) {
        all.push_back(std::move(hosts));
    }
    all.push_back(free);
    return all;
}

}  // namespace

double work_per_second(const resources& amount) {
    return processors_per_accelerator * amount.accelerators.get() +
           amount.cpu.get() / millicores_per_processor;
}

std::optional<preemption> find_preemption(const task_group& group, const candidates& free,
                                          const std::vector<victim>& victims,
                                          const placement_limits& limits) {
    auto by_loss = victims;
    std::sort(by_loss.begin(), by_loss.end(),
              [](const victim& left, const victim& right) { return left.loss < right.loss; });
    std::optional<preemption> best;
    for (const auto& scope : scopes(free)) {
        auto found = search(group, scope, by_loss, limits);
        if (found && (!best || found->loss < best->loss)) {
            best = std::move(found);
        }
    }
    return best;
}

}  // namespace baobabrack::workload
