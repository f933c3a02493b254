#include "baobabrack/workload/room_view.hpp"

#include <algorithm>

#include "baobabrack/workload/worker_table.hpp"

namespace baobabrack::workload {

namespace {

// Estimates are often too short; a run that should end before a reservation begins gets this much
// of its estimate on top.
constexpr double estimate_margin = 0.3;

candidates after(const room_view& room, const candidates& now_left, std::size_t releases) {
    auto left = now_left;
    for (std::size_t at = 0; at < releases; ++at) {
        const auto& release = room.releases[at];
        for (auto& host : left) {
            if (host.host == release.host) {
                host.left.add(release.amount);
            }
        }
    }
    return left;
}

}  // namespace

candidates room_view::usable(time_point now, duration run_time) const {
    auto hosts = left;
    const auto end =
        now + run_time + std::chrono::duration_cast<duration>(run_time * estimate_margin);
    for (auto& host : hosts) {
        const auto kept = reserved.find(host.host);
        if (kept != reserved.end() && end > kept->second.from) {
            host.left = left_of(host.left, kept->second.amount);
        }
    }
    return hosts;
}

void room_view::reserve(const task_group& group, const later_places& later) {
    for (const auto& placed : later.places) {
        auto& kept = reserved.try_emplace(placed.host, reservation{.from = later.at}).first->second;
        kept.from = std::min(kept.from, later.at);
        kept.amount.add(group.spec->per_task);
    }
}

std::optional<later_places> earliest(const task_group& group, const room_view& room, time_point now,
                                     const placement_limits& limits) {
    auto base = room.left;
    for (auto& host : base) {
        const auto kept = room.reserved.find(host.host);
        if (kept != room.reserved.end()) {
            host.left = left_of(host.left, kept->second.amount);
        }
    }
    // More releases never make a group fit worse, so the first that suffices is searched for.
    std::size_t low = 0;
    std::size_t high = room.releases.size();
    auto best = place(group, after(room, base, high), limits);
    if (!best) {
        return std::nullopt;
    }
    while (low < high) {
        const auto middle = (low + high) / 2;
        if (auto places = place(group, after(room, base, middle), limits)) {
            best = std::move(places);
            high = middle;
        } else {
            low = middle + 1;
        }
    }
    const auto at = high == 0 ? now : room.releases[high - 1].at;
    return later_places{.at = at, .places = std::move(*best)};
}

}  // namespace baobabrack::workload
