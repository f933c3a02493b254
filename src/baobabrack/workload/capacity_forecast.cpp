#include "baobabrack/workload/capacity_forecast.hpp"

#include <algorithm>

namespace baobabrack::workload {

namespace {

// Estimates are often too short; a run that should end before a reservation begins gets this much
// of its estimate on top.
constexpr double estimate_margin = 0.3;

bool is_earlier(const expected_release& left, const expected_release& right) {
    return left.time < right.time;
}

}  // namespace

capacity_forecast::capacity_forecast(candidates left, std::vector<expected_release> releases)
    : available_(std::move(left)), releases_(std::move(releases)), reserved_(available_.size()) {
    std::sort(releases_.begin(), releases_.end(), is_earlier);
}

candidates capacity_forecast::available_for(time_point now, duration run_time) const {
    auto hosts = available_;
    const auto end =
        now + run_time + std::chrono::duration_cast<duration>(run_time * estimate_margin);
    for (std::size_t at = 0; at < hosts.size(); ++at) {
        if (end > reserved_[at].from) {
            hosts[at].available = left_of(hosts[at].available, reserved_[at].amount);
        }
    }
    return hosts;
}

candidates capacity_forecast::unreserved_at(time_point until) const {
    auto hosts = available_;
    for (const auto& release : releases_) {
        if (release.time > until) {
            break;
        }
        hosts[release.host_index].available.add(release.amount);
    }
    for (std::size_t at = 0; at < hosts.size(); ++at) {
        hosts[at].available = left_of(hosts[at].available, reserved_[at].amount);
    }
    return hosts;
}

void capacity_forecast::allocate(const task_group& group, const placed_tasks& places) {
    workload::allocate(available_, group, places);
}

void capacity_forecast::reserve(const task_group& group, const future_placement& later) {
    for (const auto& placed : later.places) {
        auto& kept = reserved_[placed.host_index];
        kept.from = std::min(kept.from, later.time);
        kept.amount.add(group.spec->per_task);
    }
}

void capacity_forecast::add_release(const expected_release& release) {
    releases_.insert(std::upper_bound(releases_.begin(), releases_.end(), release, is_earlier),
                     release);
}

std::optional<future_placement> earliest_placement(const task_group& group,
                                                   const capacity_forecast& room, time_point now,
                                                   const placement_constraints& limits) {
    auto best = place(group, room.unreserved_at(time_point::max()), limits);
    if (!best) {
        return std::nullopt;
    }
    // More releases never make a group fit worse, so the first that suffices is searched for.
    const auto& releases = room.releases();
    std::size_t low = 0;
    std::size_t high = releases.size();
    while (low < high) {
        const auto middle = (low + high) / 2;
        const auto until = middle == 0 ? now : releases[middle - 1].time;
        if (auto places = place(group, room.unreserved_at(until), limits)) {
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
