#include "baobabrack/workload/capacity_forecast.hpp"

#include <algorithm>
#include <map>

#include "baobabrack/units/seconds.hpp"

namespace baobabrack::workload {

namespace {

// Run time estimates are often too short. A run may use reserved capacity only if it ends before
// the reservation begins even when it takes this share of its estimate longer.
constexpr double estimate_margin = 0.3;

bool is_earlier(const expected_release& left, const expected_release& right) {
    return left.time < right.time;
}

}  // namespace

capacity_forecast::capacity_forecast(candidates available, std::vector<expected_release> releases)
    : available_(std::move(available)),
      releases_(std::move(releases)),
      reservations_(available_.size()) {
    std::sort(releases_.begin(), releases_.end(), is_earlier);
}

candidates capacity_forecast::available_for(time_point now, duration run_time) const {
    auto hosts = available_;
    const auto end =
        now + run_time + std::chrono::duration_cast<duration>(run_time * estimate_margin);
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        if (end > reservations_[index].start) {
            hosts[index].available =
                remaining_resources(hosts[index].available, reservations_[index].amount);
        }
    }
    return hosts;
}

candidates capacity_forecast::unreserved_at(time_point time) const {
    auto hosts = open_hosts();
    for (const auto& expected : releases_) {
        if (expected.time > time) {
            break;
        }
        release(hosts[expected.host_index], expected.amount);
    }
    subtract_reservations(hosts);
    return hosts;
}

candidates capacity_forecast::unreserved_after_stops() const {
    auto hosts = open_hosts();
    for (const auto& expected : releases_) {
        if (expected.stopping) {
            release(hosts[expected.host_index], expected.amount);
        }
    }
    subtract_reservations(hosts);
    return hosts;
}

candidates capacity_forecast::open_hosts() const {
    auto hosts = available_;
    for (auto& host : hosts) {
        host.closed = false;
    }
    return hosts;
}

void capacity_forecast::subtract_reservations(candidates& hosts) const {
    for (std::size_t index = 0; index < hosts.size(); ++index) {
        hosts[index].available =
            remaining_resources(hosts[index].available, reservations_[index].amount);
    }
}

void capacity_forecast::allocate(const task_group& group, const placed_tasks& places) {
    workload::allocate(available_, group, places);
}

void capacity_forecast::close(const placed_tasks& places) {
    for (const auto& placed : places) {
        available_[placed.host_index].closed = true;
    }
}

void capacity_forecast::close_if_on_probation(const placed_tasks& places) {
    for (const auto& placed : places) {
        auto& host = available_[placed.host_index];
        host.closed = host.closed || host.on_probation;
    }
}

void capacity_forecast::reserve(const task_group& group, const future_placement& placement) {
    for (const auto& placed : placement.places) {
        auto& reserved = reservations_[placed.host_index];
        if (placement.time < reserved.start) {
            reserved.start = placement.time;
            reserved.holder = group.step.job;
        }
        reserved.amount.add(group.spec->per_task);
    }
}

std::string capacity_forecast::describe_reservations(time_point now) const {
    struct holding {
        std::size_t hosts = 0;
        time_point start = time_point::max();
    };
    std::map<job_id, holding> holdings;
    for (const auto& reserved : reservations_) {
        if (reserved.start != time_point::max()) {
            auto& held = holdings[reserved.holder];
            ++held.hosts;
            held.start = std::min(held.start, reserved.start);
        }
    }
    std::string text;
    for (const auto& [job, held] : holdings) {
        if (!text.empty()) {
            text += ", ";
        }
        text += "job " + job.get() + " (" + std::to_string(held.hosts) + " hosts, from " +
                to_ms_text(held.start - now) + " on)";
    }
    return text.empty() ? "none" : text;
}

void capacity_forecast::add_release(const expected_release& release) {
    releases_.insert(std::upper_bound(releases_.begin(), releases_.end(), release, is_earlier),
                     release);
}

std::optional<future_placement> earliest_placement(const task_group& group,
                                                   const capacity_forecast& forecast,
                                                   time_point now,
                                                   const placement_constraints& constraints) {
    auto best = place(group, forecast.unreserved_at(time_point::max()), constraints);
    if (!best) {
        return std::nullopt;
    }
    // Further releases never turn a fit into a misfit, so a binary search finds the first release
    // after which the group fits.
    const auto& releases = forecast.releases();
    std::size_t low = 0;
    std::size_t high = releases.size();
    while (low < high) {
        const auto middle = (low + high) / 2;
        const auto time = middle == 0 ? now : releases[middle - 1].time;
        if (auto places = place(group, forecast.unreserved_at(time), constraints)) {
            best = std::move(places);
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    return future_placement{.time = high == 0 ? now : std::max(now, releases[high - 1].time),
                            .places = std::move(*best)};
}

}  // namespace baobabrack::workload
