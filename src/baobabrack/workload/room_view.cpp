#include "baobabrack/workload/room_view.hpp"

#include <algorithm>

namespace baobabrack::workload {

namespace {

// Estimates are often too short; a run that should end before a reservation begins gets this much
// of its estimate on top.
constexpr double estimate_margin = 0.3;

bool is_earlier(const expected_release& left, const expected_release& right) {
    return left.at < right.at;
}

}  // namespace

room_view::room_view(candidates left, std::vector<expected_release> releases)
    : left_(std::move(left)), releases_(std::move(releases)), reserved_(left_.size()) {
    std::sort(releases_.begin(), releases_.end(), is_earlier);
}

candidates room_view::usable(time_point now, duration run_time) const {
    auto hosts = left_;
    const auto end =
        now + run_time + std::chrono::duration_cast<duration>(run_time * estimate_margin);
    for (std::size_t at = 0; at < hosts.size(); ++at) {
        if (end > reserved_[at].from) {
            hosts[at].available = left_of(hosts[at].available, reserved_[at].amount);
        }
    }
    return hosts;
}

candidates room_view::unreserved(time_point until) const {
    auto hosts = left_;
    for (const auto& release : releases_) {
        if (release.at > until) {
            break;
        }
        hosts[release.host].available.add(release.amount);
    }
    for (std::size_t at = 0; at < hosts.size(); ++at) {
        hosts[at].available = left_of(hosts[at].available, reserved_[at].amount);
    }
    return hosts;
}

void room_view::take(const task_group& group, const placed_tasks& places) {
    workload::allocate(left_, group, places);
}

void room_view::reserve(const task_group& group, const later_places& later) {
    for (const auto& placed : later.places) {
        auto& kept = reserved_[placed.host_index];
        kept.from = std::min(kept.from, later.at);
        kept.amount.add(group.spec->per_task);
    }
}

void room_view::add_release(const expected_release& release) {
    releases_.insert(std::upper_bound(releases_.begin(), releases_.end(), release, is_earlier),
                     release);
}

std::optional<later_places> earliest(const task_group& group, const room_view& room, time_point now,
                                     const placement_constraints& limits) {
    auto best = place(group, room.unreserved(time_point::max()), limits);
    if (!best) {
        return std::nullopt;
    }
    // More releases never make a group fit worse, so the first that suffices is searched for.
    const auto& releases = room.releases();
    std::size_t low = 0;
    std::size_t high = releases.size();
    while (low < high) {
        const auto middle = (low + high) / 2;
        const auto until = middle == 0 ? now : releases[middle - 1].at;
        if (auto places = place(group, room.unreserved(until), limits)) {
            best = std::move(places);
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    return later_places{.at = high == 0 ? now : std::max(now, releases[high - 1].at),
                        .places = std::move(*best)};
}

}  // namespace baobabrack::workload
