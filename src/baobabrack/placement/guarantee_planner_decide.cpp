#include <algorithm>
#include <limits>
#include <queue>
#include <utility>

#include "baobabrack/placement/guarantee_planner.hpp"

namespace baobabrack {

namespace {

constexpr auto any_cost = std::numeric_limits<double>::infinity();
/// Urgent work is stopped for a guarantee only where nothing else can be.
constexpr double urgent_stop_factor = 100;
constexpr std::size_t urgent_searches_per_decision = 64;

}  // namespace

plan guarantee_planner::decide(time_point now) {
    plan decided;
    decided.refusals = std::exchange(refusals_, {});
    release_quarantined(now);
    settle(now);
    refresh_open();
    refresh_kept();
    serve_clearings(decided, now);
    serve_promises(decided, now);
    serve_groups(decided);
    serve_urgent(decided, now);
    serve_aged(decided, now);
    serve_moves(decided, now);
    return decided;
}

void guarantee_planner::release_quarantined(time_point now) {
    for (const auto& worker : health_.released(now)) {
        const auto slot = index_.places().find(worker);
        if (slot != topology::no_slot) {
            plan_.set_capacity(slot, index_.capacity().at(slot));
            index_.set_barred(slot, false);
            unsettled_ = true;
        }
    }
}

void guarantee_planner::settle(time_point now) {
    if (!unsettled_) {
        return;
    }
    unsettled_ = false;
    if (!plan_.settle()) {
        make_room_in_plan(now);
    }
    for (const auto& one : plan_.promises()) {
        if (one.in_force && !one.occupant) {
            to_serve_.insert(one.workspace);
        }
    }
}

void guarantee_planner::make_room_in_plan(time_point now) {
    std::vector<std::pair<double, gang_table::gang_index>> firm;
    for (gang_table::gang_index index = 0; index < gangs_.all().size(); ++index) {
        const auto& gang = gangs_.at(index);
        if (gang.in_use && gang.firm) {
            firm.emplace_back(gang.lost_work(now), index);
        }
    }
    std::sort(firm.begin(), firm.end());
    for (const auto& [cost, index] : firm) {
        give_back_firm(gangs_.at(index));
        if (plan_.settle()) {
            return;
        }
    }
}

active_gang& guarantee_planner::begin(planned_job job, std::vector<held_share> held,
                                      std::optional<reclaim_plan::promise_index> promise, bool firm,
                                      plan& decided) {
    decided.starts.push_back({job.id, index_.to_members(plain_shares(held))});
    active_gang gang;
    gang.query = query_of(job);
    gang.job = std::move(job);
    gang.members = std::move(held);
    gang.promise = promise;
    gang.firm = firm;
    gang.starting = true;
    return gangs_.at(gangs_.add(std::move(gang)));
}

void guarantee_planner::start(const waiting_job& waiting, const std::vector<slot_share>& place,
                              std::optional<reclaim_plan::promise_index> promise, bool firm,
                              plan& decided) {
    const auto job = waiting.job;
    const auto query = waiting.query;
    queue_.remove(job.id);
    held_accelerators_[job.workspace] += query.accelerators();
    if (firm) {
        plan_.take(place, query.unit);
    }
    if (promise) {
        plan_.set_occupant(*promise, job.id);
    }
    auto held = index_.hold(place, query.unit);
    index_.claim(held, query.unit);
    begin(job, std::move(held), promise, firm, decided);
    refresh_open();
}

void guarantee_planner::clear(const waiting_job& waiting, const cleared_place& cleared,
                              std::optional<reclaim_plan::promise_index> promise, bool aged,
                              plan& decided, time_point now) {
    const auto query = waiting.query;
    clearing wanted;
    wanted.job = waiting.job;
    wanted.place = cleared.place;
    wanted.promise = promise;
    wanted.aged = aged;
    wanted.since = now;
    queue_.remove(wanted.job.id);
    held_accelerators_[wanted.job.workspace] += query.accelerators();
    for (const auto victim : cleared.victims) {
        auto& gang = gangs_.at(victim);
        gang.stopping = true;
        decided.stops.push_back({gang.job.id, wanted.job.id});
    }
    if (promise) {
        plan_.set_occupant(*promise, wanted.job.id);
    }
    wanted.held = index_.hold(wanted.place, query.unit);
    clearings_.emplace(wanted.job.id, std::move(wanted));
    refresh_open();
}

void guarantee_planner::serve_clearings(plan& decided, time_point now) {
    std::vector<job_id> ready;
    std::vector<job_id> lost;
    for (const auto& [id, one] : clearings_) {
        const auto unit = query_of(one.job).unit;
        const bool here =
            std::all_of(one.held.begin(), one.held.end(),
                        [&](const held_share& share) { return index_.is_present(share); });
        const bool free =
            here && std::all_of(one.held.begin(), one.held.end(), [&](const held_share& share) {
                return index_.unclaimed_on(share.slot).fit_count(unit) >= share.count;
            });
        if (free) {
            index_.claim(one.held, unit);
            ready.push_back(id);
        } else if (!here || now - one.since > options_.clearing_timeout) {
            lost.push_back(id);
        }
    }
    std::sort(ready.begin(), ready.end());
    for (const auto& id : ready) {
        auto one = std::move(clearings_.at(id));
        clearings_.erase(id);
        auto& gang = begin(std::move(one.job), std::move(one.held), one.promise, false, decided);
        gang.shielded = one.aged;
    }
    std::sort(lost.begin(), lost.end());
    for (const auto& id : lost) {
        const auto again = clearings_.at(id).job;
        job_queued(again);
    }
    refresh_open();
}

std::optional<std::vector<slot_share>> guarantee_planner::within_footprint(
    const promise& promised, const place_query& query) const {
    std::vector<slot_share> place;
    auto wanted = query.members;
    for (const auto& share : promised.footprint) {
        const auto fits = capacity_view::fit(index_.available().at(share.slot), query.unit);
        const auto count = std::min({fits, share.count, wanted});
        if (count > 0) {
            place.push_back({share.slot, count});
            wanted -= count;
        }
    }
    if (wanted > 0) {
        return std::nullopt;
    }
    return place;
}

void guarantee_planner::serve_promises(plan& decided, time_point now) {
    const auto workspaces = std::exchange(to_serve_, {});
    for (const auto& workspace : workspaces) {
        if (!serve_workspace(workspace, decided, now)) {
            to_serve_.insert(workspace);
        }
    }
}

bool guarantee_planner::serve_workspace(const workspace_id& workspace, plan& decided,
                                        time_point now) {
    bool all = true;
    for (const auto index : plan_.promises_of(workspace)) {
        if (plan_.at(index).occupant || plan_.at(index).footprint.empty()) {
            continue;
        }
        const auto* waiting = queue_.first_of(
            workspace, [&](const place_query& query) { return covers(plan_.at(index), query); });
        if (waiting == nullptr) {
            continue;
        }
        if (above_quota(waiting->job)) {
            queue_.park(waiting->job.id);
            all = false;
        } else if (!serve_promise(index, *waiting, decided, now)) {
            all = false;
        }
    }
    return all;
}

bool guarantee_planner::serve_promise(reclaim_plan::promise_index index, const waiting_job& waiting,
                                      plan& decided, time_point now) {
    const auto& promised = plan_.at(index);
    if (const auto place = within_footprint(promised, waiting.query)) {
        start(waiting, *place, index, false, decided);
        return true;
    }
    if (const auto elsewhere = find_place(open_, promised.query, fit_rule::tightest)) {
        plan_.move(index, *elsewhere);
        const auto place = within_footprint(promised, waiting.query);
        start(waiting, *place, index, false, decided);
        return true;
    }
    return reclaim(index, waiting, decided, now);
}

bool guarantee_planner::reclaim(reclaim_plan::promise_index index, const waiting_job& waiting,
                                plan& decided, time_point now) {
    const stop_cost cost = [&](const active_gang& gang) -> std::optional<double> {
        if (gang.firm || gang.promise) {
            return std::nullopt;
        }
        return gang.lost_work(now) * (gang.job.urgent ? urgent_stop_factor : 1);
    };
    const auto& promised = plan_.at(index);
    auto here = victims_.clear(promised.footprint, promised.query.unit, cost);
    const auto most = here ? here->cost : any_cost;
    auto elsewhere = victims_.best(promised.query, &plan_.unpromised(), cost, most);
    if (elsewhere && (!here || elsewhere->cost < here->cost)) {
        plan_.move(index, elsewhere->place);
        here = std::move(elsewhere);
    }
    if (!here) {
        return false;
    }
    auto wanted = waiting.query.members;
    std::vector<slot_share> place;
    for (const auto& share : here->place) {
        const auto count = std::min(share.count, wanted);
        if (count > 0) {
            place.push_back({share.slot, count});
            wanted -= count;
        }
    }
    here->place = std::move(place);
    clear(waiting, *here, index, false, decided, now);
    return true;
}

std::optional<std::vector<slot_share>> guarantee_planner::open_place(
    const place_query& query) const {
    if (query.unit.accelerators.get() == 0) {
        if (auto place = find_place(spare_, query, fit_rule::tightest)) {
            return place;
        }
    }
    return find_place(open_, query, fit_rule::tightest, &kept_);
}

bool guarantee_planner::serve_head(wait_queue::group& group, plan& decided) {
    const auto* waiting = queue_.find(group.jobs.begin()->second);
    if (above_quota(waiting->job)) {
        queue_.park(waiting->job.id);
        return true;
    }
    const auto& query = waiting->query;
    if (const auto place = open_place(query)) {
        start(*waiting, *place, std::nullopt, !group.checkpointable, decided);
        return true;
    }
    if (!group.checkpointable) {
        return false;
    }
    if (const auto place = find_place(index_.available(), query, fit_rule::tightest, &kept_)) {
        start(*waiting, *place, std::nullopt, false, decided);
        return true;
    }
    return false;
}

void guarantee_planner::serve_groups(plan& decided) {
    if (std::exchange(capacity_freed_, false)) {
        queue_.unblock();
    }
    auto& groups = queue_.groups();
    using head = std::tuple<bool, wait_queue::order, std::size_t>;
    std::priority_queue<head, std::vector<head>, std::greater<>> heads;
    const auto offer = [&](std::size_t index) {
        const auto& group = groups[index];
        if (!group.blocked && !group.jobs.empty()) {
            heads.emplace(!group.urgent, group.jobs.begin()->first, index);
        }
    };
    for (std::size_t index = 0; index < groups.size(); ++index) {
        offer(index);
    }
    while (!heads.empty()) {
        const auto index = std::get<std::size_t>(heads.top());
        heads.pop();
        groups[index].blocked = !serve_head(groups[index], decided);
        offer(index);
    }
    capacity_freed_ = false;
}

void guarantee_planner::serve_urgent(plan& decided, time_point now) {
    std::vector<job_id> urgent;
    for (const auto& group : queue_.groups()) {
        if (!group.urgent) {
            continue;
        }
        for (const auto& [order, job] : group.jobs) {
            if (urgent.size() < urgent_searches_per_decision) {
                urgent.push_back(job);
            }
        }
    }
    for (const auto& id : urgent) {
        const auto* waiting = queue_.find(id);
        const auto& workspace = waiting->job.workspace;
        const stop_cost cost = [&](const active_gang& gang) -> std::optional<double> {
            const bool own = gang.job.workspace == workspace;
            if (gang.job.urgent || (gang.promise && !own)) {
                return std::nullopt;
            }
            return gang.lost_work(now);
        };
        if (above_quota(waiting->job)) {
            queue_.park(id);
        } else if (const auto cleared = victims_.best(waiting->query, nullptr, cost, any_cost)) {
            clear(*waiting, *cleared, std::nullopt, false, decided, now);
        }
    }
}

void guarantee_planner::serve_aged(plan& decided, time_point now) {
    auto under_way = static_cast<std::uint32_t>(std::count_if(
        clearings_.begin(), clearings_.end(), [](const auto& one) { return one.second.aged; }));
    std::vector<job_id> aged;
    for (const auto& [submitted, job] : queue_.by_age()) {
        if (now - submitted < options_.aged_after ||
            under_way + aged.size() >= options_.aged_at_once) {
            break;
        }
        aged.push_back(job);
    }
    for (const auto& id : aged) {
        const auto* waiting = queue_.find(id);
        const bool long_aged = now - waiting->job.submitted >= options_.long_aged_after;
        const stop_cost cost = [&](const active_gang& gang) -> std::optional<double> {
            if (gang.job.urgent || gang.promise || gang.shielded ||
                (!gang.job.checkpointable && !long_aged)) {
                return std::nullopt;
            }
            return gang.lost_work(now);
        };
        if (above_quota(waiting->job)) {
            queue_.park(id);
        } else if (const auto cleared = victims_.best(waiting->query, nullptr, cost, any_cost)) {
            clear(*waiting, *cleared, std::nullopt, true, decided, now);
        }
    }
}

}  // namespace baobabrack
