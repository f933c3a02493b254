#include "baobabrack/workload/preemption.hpp"

#include <algorithm>
#include <limits>
#include <set>

namespace baobabrack::workload {

namespace {

// As the users weigh thrown-away work.
constexpr double processors_per_accelerator = 8;
constexpr double millicores_per_processor = 1000;

/// What making room on one host costs.
struct bid {
    std::size_t host = 0;
    std::vector<std::size_t> victims;
    /// Tasks that fit then.
    std::uint32_t tasks = 0;
    double loss = 0;

    double loss_per_task() const { return loss / tasks; }
};

/// Buys room for one group, host by host.
class auction {
public:
    auction(const task_group& group, candidates free, const std::vector<victim>& victims)
        : group_(group),
          free_(std::move(free)),
          victims_(victims),
          bought_(victims.size()),
          on_host_(free_.size()),
          by_host_(free_.size()) {
        for (std::size_t number = 0; number < victims_.size(); ++number) {
            for (const auto& [host, amount] : victims_[number].allocations) {
                by_host_[host].push_back(number);
            }
        }
        for (auto& numbers : by_host_) {
            std::sort(numbers.begin(), numbers.end(), [&](std::size_t left, std::size_t right) {
                return victims_[left].lost_work < victims_[right].lost_work;
            });
        }
    }

    /// @param hosts that may be used
    /// @param limit of the loss; dearer rooms are of no interest
    std::optional<preemption_plan> buy(const std::vector<std::size_t>& hosts, double limit) {
        while (placed_ < group_.tasks.size()) {
            const auto best = best_bid(hosts);
            if (!best || loss_ + best->loss >= limit) {
                return std::nullopt;
            }
            accept(*best);
        }
        return result();
    }

private:
    std::uint32_t needed() const {
        return static_cast<std::uint32_t>(group_.tasks.size() - placed_);
    }

    // Room for tasks beside those that have a place here already.
    std::uint32_t spare(std::size_t host, const resources& left) const {
        auto amount = left;
        const auto here = on_host_[host];
        const auto whole = task_capacity(
            group_, {.facts = free_[host].facts, .available = amount, .degraded = false});
        return whole > here ? whole - here : 0;
    }

    std::optional<bid> best_bid(const std::vector<std::size_t>& hosts) const {
        std::optional<bid> best;
        for (const auto host : hosts) {
            auto one = bid_for(host);
            if (one && (!best || is_better(*one, *best))) {
                best = std::move(one);
            }
        }
        return best;
    }

    // The cheaper place; among equals the host with the least left.
    bool is_better(const bid& left, const bid& right) const {
        if (left.loss_per_task() != right.loss_per_task()) {
            return left.loss_per_task() < right.loss_per_task();
        }
        return free_[left.host].available.accelerators < free_[right.host].available.accelerators;
    }

    // The number of victims at which a place costs the least.
    std::optional<bid> bid_for(std::size_t host) const {
        std::optional<bid> best;
        bid one{.host = host, .victims = {}, .tasks = 0, .loss = 0};
        auto left = free_[host].available;
        const auto offer = [&] {
            one.tasks = std::min(spare(host, left), needed());
            if (one.tasks > 0 && (!best || one.loss_per_task() < best->loss_per_task())) {
                best = one;
            }
        };
        offer();
        if (best) {
            return best;
        }
        for (const auto number : by_host_[host]) {
            if (bought_[number]) {
                continue;
            }
            one.victims.push_back(number);
            one.loss += victims_[number].lost_work;
            for (const auto& [at, amount] : victims_[number].allocations) {
                if (at == host) {
                    left.add(amount);
                }
            }
            offer();
        }
        if (best) {
            drop_needless(*best);
        }
        return best;
    }

    // Later victims may have made earlier, cheaper ones needless: the dearest are tried first.
    void drop_needless(bid& one) const {
        for (auto at = one.victims.size(); at > 0; --at) {
            auto left = free_[one.host].available;
            for (std::size_t other = 0; other < one.victims.size(); ++other) {
                if (other == at - 1) {
                    continue;
                }
                for (const auto& [host, amount] : victims_[one.victims[other]].allocations) {
                    if (host == one.host) {
                        left.add(amount);
                    }
                }
            }
            if (std::min(spare(one.host, left), needed()) >= one.tasks) {
                one.loss -= victims_[one.victims[at - 1]].lost_work;
                one.victims.erase(one.victims.begin() + static_cast<std::ptrdiff_t>(at) - 1);
            }
        }
    }

    void accept(const bid& one) {
        for (const auto number : one.victims) {
            bought_[number] = true;
            loss_ += victims_[number].lost_work;
            for (const auto& [host, amount] : victims_[number].allocations) {
                free_[host].available.add(amount);
            }
        }
        for (std::uint32_t task = 0; task < one.tasks; ++task) {
            places_.push_back({.index = group_.tasks[placed_++], .host_index = one.host});
        }
        on_host_[one.host] += one.tasks;
    }

    preemption_plan result() const {
        preemption_plan found{.victims = {}, .places = places_, .lost_work = loss_};
        for (std::size_t number = 0; number < bought_.size(); ++number) {
            if (bought_[number]) {
                found.victims.push_back(number);
            }
        }
        return found;
    }

    const task_group& group_;
    candidates free_;
    const std::vector<victim>& victims_;
    std::vector<bool> bought_;
    // Tasks of the group that have a place on the host.
    std::vector<std::uint32_t> on_host_;
    // Victims by host, cheapest first.
    std::vector<std::vector<std::size_t>> by_host_;
    placed_tasks places_;
    std::size_t placed_ = 0;
    double loss_ = 0;
};

std::vector<std::size_t> hosts_in(const candidates& from, const rack_id* rack) {
    std::vector<std::size_t> hosts;
    for (std::size_t at = 0; at < from.size(); ++at) {
        if (rack == nullptr || from[at].facts->rack == *rack) {
            hosts.push_back(at);
        }
    }
    return hosts;
}

}  // namespace

double work_per_second(const resources& amount) {
    return processors_per_accelerator * amount.accelerators.get() +
           amount.cpu.get() / millicores_per_processor;
}

std::optional<preemption_plan> find_preemption(const task_group& group, const candidates& free,
                                               const std::vector<victim>& victims,
                                               const placement_constraints& limits) {
    constexpr auto no_limit = std::numeric_limits<double>::max();
    const auto& data_rack = group.spec->data_rack;
    if (!data_rack.get().empty() && !limits.allow_remote) {
        return auction(group, free, victims).buy(hosts_in(free, &data_rack), no_limit);
    }
    const bool one_rack = group.spec->gang && group.spec->rack_local;
    if (!one_rack || limits.allow_multiple_racks) {
        return auction(group, free, victims).buy(hosts_in(free, nullptr), no_limit);
    }
    std::optional<preemption_plan> best;
    std::set<rack_id> racks;
    for (const auto& host : free) {
        racks.insert(host.facts->rack);
    }
    for (const auto& rack : racks) {
        auto found = auction(group, free, victims)
                         .buy(hosts_in(free, &rack), best ? best->lost_work : no_limit);
        if (found) {
            best = std::move(found);
        }
    }
    return best;
}

}  // namespace baobabrack::workload
