#include "baobabrack/workload/preemption.hpp"

#include <algorithm>
#include <limits>
#include <set>

namespace baobabrack::workload {

namespace {

// The users weigh the lost work of one accelerator as that of this many processors.
constexpr double processors_per_accelerator = 8;
constexpr double millicores_per_processor = 1000;

/// Victims to stop on one host, and the number of tasks that fit there afterwards.
struct host_option {
    std::size_t host_index = 0;
    std::vector<std::size_t> victims;
    std::uint32_t tasks = 0;
    double lost_work = 0;

    double lost_work_per_task() const { return lost_work / tasks; }
};

/// Greedy search for the victims of one group, host by host.
class preemption_search {
public:
    preemption_search(const task_group& group, candidates free, const std::vector<victim>& victims,
                      victim_choice choice)
        : group_(group),
          free_(std::move(free)),
          victims_(victims),
          selected_(victims.size()),
          placed_on_host_(free_.size()),
          victims_on_host_(free_.size()) {
        for (std::size_t index = 0; index < victims_.size(); ++index) {
            if (victims_[index].borrowing && choice == victim_choice::lower_priority) {
                continue;
            }
            for (const auto& [host, amount] : victims_[index].allocations) {
                victims_on_host_[host].push_back(index);
            }
        }
        for (auto& indices : victims_on_host_) {
            std::sort(indices.begin(), indices.end(), [&](std::size_t left, std::size_t right) {
                return victims_[left].lost_work < victims_[right].lost_work;
            });
        }
    }

    /// @param hosts the hosts that may be used
    /// @param limit of the lost work; the search ends without a result once it is reached
    std::optional<preemption_plan> run(const std::vector<std::size_t>& hosts, double limit) {
        while (placed_ < group_.tasks.size()) {
            const auto best = best_option(hosts);
            if (!best || lost_work_ + best->lost_work >= limit) {
                return std::nullopt;
            }
            apply(*best);
        }
        return result();
    }

private:
    std::uint32_t unplaced_tasks() const {
        return static_cast<std::uint32_t>(group_.tasks.size() - placed_);
    }

    // The number of tasks that fit on a host in addition to those that have a place there already.
    std::uint32_t additional_tasks(std::size_t host, const candidate& freed) const {
        const auto placed = placed_on_host_[host];
        const auto total = task_capacity(group_, freed);
        return total > placed ? total - placed : 0;
    }

    std::optional<host_option> best_option(const std::vector<std::size_t>& hosts) const {
        std::optional<host_option> best;
        for (const auto host : hosts) {
            auto option = option_for(host);
            if (option && (!best || is_better(*option, *best))) {
                best = std::move(option);
            }
        }
        return best;
    }

    // Among options that lose equally much work, prefers the host with the fewest free
    // accelerators.
    bool is_better(const host_option& left, const host_option& right) const {
        if (left.lost_work_per_task() != right.lost_work_per_task()) {
            return left.lost_work_per_task() < right.lost_work_per_task();
        }
        return free_[left.host_index].available.accelerators <
               free_[right.host_index].available.accelerators;
    }

    // Adds victims in ascending order of lost work, and returns the set with the least lost work
    // per task.
    std::optional<host_option> option_for(std::size_t host) const {
        std::optional<host_option> best;
        host_option current{.host_index = host, .victims = {}, .tasks = 0, .lost_work = 0};
        auto freed = free_[host];
        const auto update_best = [&] {
            current.tasks = std::min(additional_tasks(host, freed), unplaced_tasks());
            if (current.tasks > 0 &&
                (!best || current.lost_work_per_task() < best->lost_work_per_task())) {
                best = current;
            }
        };
        update_best();
        if (best) {
            return best;
        }
        for (const auto index : victims_on_host_[host]) {
            if (selected_[index]) {
                continue;
            }
            current.victims.push_back(index);
            current.lost_work += victims_[index].lost_work;
            for (const auto& [victim_host, amount] : victims_[index].allocations) {
                if (victim_host == host) {
                    release(freed, amount);
                }
            }
            update_best();
        }
        if (best) {
            drop_redundant(*best);
        }
        return best;
    }

    // A victim added later may make earlier ones redundant. Tries to drop the victims with the most
    // lost work first.
    void drop_redundant(host_option& option) const {
        for (auto end = option.victims.size(); end > 0; --end) {
            auto freed = free_[option.host_index];
            for (std::size_t other = 0; other < option.victims.size(); ++other) {
                if (other == end - 1) {
                    continue;
                }
                for (const auto& [host, amount] : victims_[option.victims[other]].allocations) {
                    if (host == option.host_index) {
                        release(freed, amount);
                    }
                }
            }
            if (std::min(additional_tasks(option.host_index, freed), unplaced_tasks()) >=
                option.tasks) {
                option.lost_work -= victims_[option.victims[end - 1]].lost_work;
                option.victims.erase(option.victims.begin() + static_cast<std::ptrdiff_t>(end) - 1);
            }
        }
    }

    void apply(const host_option& option) {
        for (const auto index : option.victims) {
            selected_[index] = true;
            lost_work_ += victims_[index].lost_work;
            for (const auto& [host, amount] : victims_[index].allocations) {
                release(free_[host], amount);
            }
        }
        for (std::uint32_t task = 0; task < option.tasks; ++task) {
            places_.push_back({.index = group_.tasks[placed_++], .host_index = option.host_index});
        }
        placed_on_host_[option.host_index] += option.tasks;
    }

    preemption_plan result() const {
        preemption_plan plan{.victims = {}, .places = places_, .lost_work = lost_work_};
        for (std::size_t index = 0; index < selected_.size(); ++index) {
            if (selected_[index]) {
                plan.victims.push_back(index);
            }
        }
        return plan;
    }

    const task_group& group_;
    candidates free_;
    const std::vector<victim>& victims_;
    std::vector<bool> selected_;
    // Number of tasks of the group placed on each host.
    std::vector<std::uint32_t> placed_on_host_;
    // Victims on each host, by ascending lost work.
    std::vector<std::vector<std::size_t>> victims_on_host_;
    placed_tasks places_;
    std::size_t placed_ = 0;
    double lost_work_ = 0;
};

std::vector<std::size_t> hosts_in(const candidates& hosts, const rack_id* rack) {
    std::vector<std::size_t> found;
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        if (rack == nullptr || hosts[index].facts->rack == *rack) {
            found.push_back(index);
        }
    }
    return found;
}

}  // namespace

double work_per_second(const resources& amount) {
    return processors_per_accelerator * amount.accelerators.get() +
           amount.cpu.get() / millicores_per_processor;
}

std::optional<preemption_plan> find_preemption(const task_group& group, const candidates& free,
                                               const std::vector<victim>& victims,
                                               const placement_constraints& constraints,
                                               victim_choice choice) {
    constexpr auto no_limit = std::numeric_limits<double>::max();
    const auto& data_rack = group.spec->data_rack;
    if (!data_rack.get().empty() && !constraints.allow_remote) {
        return preemption_search(group, free, victims, choice)
            .run(hosts_in(free, &data_rack), no_limit);
    }
    const bool one_rack = group.spec->gang && group.spec->rack_local;
    if (!one_rack || constraints.allow_multiple_racks) {
        return preemption_search(group, free, victims, choice)
            .run(hosts_in(free, nullptr), no_limit);
    }
    std::optional<preemption_plan> best;
    std::set<rack_id> racks;
    for (const auto& host : free) {
        racks.insert(host.facts->rack);
    }
    for (const auto& rack : racks) {
        auto plan = preemption_search(group, free, victims, choice)
                        .run(hosts_in(free, &rack), best ? best->lost_work : no_limit);
        if (plan) {
            best = std::move(plan);
        }
    }
    return best;
}

}  // namespace baobabrack::workload
