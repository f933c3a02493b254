#include <algorithm>
#include <chrono>

#include "baobabrack/placement/guarantee_planner.hpp"
#include "baobabrack/world/directory.hpp"

namespace baobabrack {

namespace {

using namespace std::chrono_literals;

/// What a move costs: run time without progress, and the wear of one more stop.
constexpr double move_cost_seconds = 60;
constexpr std::size_t workers_per_look = 64;

}  // namespace

void guarantee_planner::drop_move(const job_id& job) {
    const auto found = moves_.find(job);
    if (found == moves_.end()) {
        return;
    }
    index_.release(found->second.held, query_of(found->second.job).unit, false);
    moves_.erase(found);
}

bool guarantee_planner::is_movable(const active_gang& gang) const {
    const bool settled = !gang.starting && !gang.stopping && !gang.promise;
    return settled && gang.job.checkpointable && !gang.job.urgent && gang.members.size() == 1 &&
           gang.query.unit.accelerators.get() > 0;
}

std::uint32_t guarantee_planner::gathered(worker_slot from, worker_slot to,
                                          std::uint32_t accelerators) const {
    const auto& places = index_.places();
    const auto free_from = index_.available().at(from).accelerators.get();
    const auto free_to = index_.available().at(to).accelerators.get();
    const auto on_workers = [&](std::uint32_t here, std::uint32_t there) {
        return stranded(here, kept_.on_worker) + stranded(there, kept_.on_worker);
    };
    auto before = on_workers(free_from, free_to);
    auto after = on_workers(free_from + accelerators, free_to - accelerators);
    const auto rack_from = places.slot(from).rack;
    const auto rack_to = places.slot(to).rack;
    if (rack_from != rack_to) {
        const auto racks = [&](std::uint32_t here, std::uint32_t there) {
            return stranded(here, kept_.on_rack) + stranded(there, kept_.on_rack);
        };
        const auto here = index_.available().rack_accelerators(rack_from);
        const auto there = index_.available().rack_accelerators(rack_to);
        before += racks(here, there);
        after += racks(here + accelerators, there - accelerators);
    }
    if (before > after) {
        return before - after;
    }
    // Fuller and emptier workers lead to whole free ones with later moves.
    return before == after && free_from >= free_to ? 1 : 0;
}

bool guarantee_planner::try_move(gang_table::gang_index index, worker_slot from, plan& decided,
                                 time_point now) {
    auto& gang = gangs_.at(index);
    const auto place =
        find_place(gang.firm ? open_ : index_.available(), gang.query, fit_rule::tightest, &kept_);
    if (!place || place->size() != 1 || place->front().slot == from) {
        return false;
    }
    const auto* workspace = tickets_.find_workspace(gang.job.workspace);
    const auto* service =
        workspace == nullptr ? nullptr : tickets_.find_service(service_id{workspace->service()});
    const double completion = service == nullptr ? 1 : service->weights().completion();
    const double fragmentation = service == nullptr ? 1 : service->weights().fragmentation();
    const auto remaining = run_times_.expected_remaining(gang.job, gang.attained(now));
    const auto gain = gathered(from, place->front().slot, gang.query.accelerators());
    const auto cost = move_cost_seconds * gang.query.accelerators();
    if (gain == 0 || gain * remaining * fragmentation < cost * completion) {
        return false;
    }
    gang.stopping = true;
    decided.stops.push_back({gang.job.id, {}});
    clearing arriving;
    arriving.job = gang.job;
    arriving.place = *place;
    arriving.held = index_.hold(*place, gang.query.unit);
    arriving.since = now;
    moves_.emplace(gang.job.id, std::move(arriving));
    refresh_open();
    return true;
}

void guarantee_planner::move_from(worker_slot slot, plan& decided, time_point now) {
    const auto candidates = gangs_.on(slot);
    for (const auto index : candidates) {
        if (is_movable(gangs_.at(index)) && try_move(index, slot, decided, now)) {
            return;
        }
    }
}

void guarantee_planner::serve_moves(plan& decided, time_point now) {
    std::vector<job_id> late;
    for (const auto& [job, one] : moves_) {
        if (now - one.since > options_.clearing_timeout) {
            late.push_back(job);
        }
    }
    for (const auto& job : late) {
        drop_move(job);
    }
    const auto slots = index_.places().slot_count();
    if (now < next_moves_ || slots == 0) {
        return;
    }
    next_moves_ = now + options_.move_interval;
    for (std::size_t looked = 0; looked < std::min(slots, workers_per_look); ++looked) {
        move_cursor_ = (move_cursor_ + 1) % slots;
        const auto slot = static_cast<worker_slot>(move_cursor_);
        if (moves_.size() >= options_.moves_at_once) {
            return;
        }
        if (index_.places().slot(slot).present && !gangs_.on(slot).empty()) {
            move_from(slot, decided, now);
        }
    }
}

}  // namespace baobabrack
