#include "baobabrack/placement/reclaim_plan.hpp"

#include <algorithm>
#include <chrono>
#include <utility>

#include "baobabrack/placement/fleet_index.hpp"

namespace baobabrack {

namespace {

bool same_promise(const promise& left, const promise& right) {
    return left.query == right.query && left.notice == right.notice;
}

std::vector<promise> expand(const workspace_id& workspace,
                            const std::vector<wire::Guarantee>& guarantees) {
    std::vector<promise> expanded;
    for (const auto& one : guarantees) {
        promise added;
        added.workspace = workspace;
        added.query = query_of(one);
        added.notice = std::chrono::milliseconds(one.notice_ms());
        expanded.insert(expanded.end(), one.count(), added);
    }
    return expanded;
}

/// Whether a gang that may run at `wanted` may run in a footprint promised at `promised`.
bool admits_place(const std::string& wanted, const std::string& promised) {
    return wanted.empty() || wanted == promised;
}

/// Whether what holds at the left level holds at the right one.
bool at_least_as_near(wire::Adjacency left, wire::Adjacency right) {
    return left <= right;
}

}  // namespace

bool covers(const promise& promised, const place_query& gang) {
    const auto& shape = promised.query;
    constexpr std::uint32_t least_share_divisor = 2;
    const bool fits = shape.unit.can_fit(gang.unit) && gang.members <= shape.members;
    const bool placed_alike = at_least_as_near(shape.adjacency, gang.adjacency) &&
                              admits_place(gang.region.get(), shape.region.get()) &&
                              admits_place(gang.data_centre.get(), shape.data_centre.get());
    const bool uses_most = gang.accelerators() * least_share_divisor >= shape.accelerators() &&
                           gang.members * least_share_divisor >= shape.members;
    return fits && placed_alike && uses_most;
}

reclaim_plan::reclaim_plan(const topology& places) : places_(places), unpromised_(places) {
}

reclaim_plan::slot_state& reclaim_plan::state(worker_slot slot) {
    if (slot >= states_.size()) {
        states_.resize(places_.slot_count());
    }
    return states_[slot];
}

void reclaim_plan::refresh(worker_slot slot) {
    const auto& one = state(slot);
    unpromised_.set(slot, less(one.capacity, one.used));
    changed_.push_back(slot);
}

std::vector<worker_slot> reclaim_plan::take_changed() {
    return std::exchange(changed_, {});
}

void reclaim_plan::set_capacity(worker_slot slot, const resources& capacity) {
    auto& one = state(slot);
    one.capacity = capacity;
    if (!capacity.can_fit(one.used)) {
        const auto broken = one.footprints;
        for (const auto index : broken) {
            lift(index);
            promises_[index].occupant.reset();
        }
    }
    refresh(slot);
}

void reclaim_plan::remove(worker_slot slot) {
    set_capacity(slot, {});
    state(slot) = {};
    refresh(slot);
}

void reclaim_plan::take(const std::vector<slot_share>& shares, const resources& unit) {
    for (const auto& share : shares) {
        state(share.slot).used.add(unit, share.count);
        refresh(share.slot);
    }
}

void reclaim_plan::give_back(const std::vector<slot_share>& shares, const resources& unit) {
    for (const auto& share : shares) {
        auto& used = state(share.slot).used;
        resources part;
        part.add(unit, share.count);
        used = less(used, part);
        refresh(share.slot);
    }
}

void reclaim_plan::lay(promise_index index, std::vector<slot_share> place) {
    auto& one = promises_[index];
    one.footprint = std::move(place);
    for (const auto& share : one.footprint) {
        state(share.slot).footprints.push_back(index);
    }
    take(one.footprint, one.query.unit);
}

void reclaim_plan::lift(promise_index index) {
    auto& one = promises_[index];
    for (const auto& share : one.footprint) {
        auto& there = state(share.slot).footprints;
        there.erase(std::remove(there.begin(), there.end(), index), there.end());
    }
    give_back(one.footprint, one.query.unit);
    one.footprint.clear();
}

void reclaim_plan::move(promise_index index, const std::vector<slot_share>& place) {
    lift(index);
    lay(index, place);
}

void reclaim_plan::set_occupant(promise_index index, std::optional<job_id> job) {
    promises_[index].occupant = std::move(job);
}

void reclaim_plan::add_promise(promise&& added) {
    const auto unused = std::find_if(promises_.begin(), promises_.end(),
                                     [](const promise& one) { return !one.in_force; });
    if (unused == promises_.end()) {
        promises_.push_back(std::move(added));
    } else {
        *unused = std::move(added);
    }
}

void reclaim_plan::set_promises(const workspace_id& workspace,
                                const std::vector<wire::Guarantee>& promised) {
    auto wanted = expand(workspace, promised);
    for (const auto index : promises_of(workspace)) {
        const auto kept = std::find_if(wanted.begin(), wanted.end(), [&](const promise& one) {
            return same_promise(one, promises_[index]);
        });
        if (kept != wanted.end()) {
            wanted.erase(kept);
            continue;
        }
        lift(index);
        promises_[index].occupant.reset();
        promises_[index].in_force = false;
    }
    for (auto& one : wanted) {
        add_promise(std::move(one));
    }
}

std::vector<reclaim_plan::promise_index> reclaim_plan::promises_of(
    const workspace_id& workspace) const {
    std::vector<promise_index> found;
    for (promise_index index = 0; index < promises_.size(); ++index) {
        if (promises_[index].in_force && promises_[index].workspace == workspace) {
            found.push_back(index);
        }
    }
    return found;
}

std::vector<reclaim_plan::promise_index> reclaim_plan::wanting() const {
    std::vector<promise_index> found;
    for (promise_index index = 0; index < promises_.size(); ++index) {
        if (promises_[index].in_force && promises_[index].footprint.empty()) {
            found.push_back(index);
        }
    }
    return found;
}

std::vector<reclaim_plan::promise_index> reclaim_plan::idle() const {
    std::vector<promise_index> found;
    for (promise_index index = 0; index < promises_.size(); ++index) {
        if (promises_[index].in_force && !promises_[index].occupant) {
            found.push_back(index);
        }
    }
    return found;
}

bool reclaim_plan::place_all(std::vector<promise_index> wanting) {
    std::stable_sort(wanting.begin(), wanting.end(), [&](promise_index left, promise_index right) {
        return promises_[left].query.accelerators() > promises_[right].query.accelerators();
    });
    bool all = true;
    for (const auto index : wanting) {
        if (auto place = find_place(unpromised_, promises_[index].query, fit_rule::tightest)) {
            lay(index, std::move(*place));
        } else {
            all = false;
        }
    }
    return all;
}

bool reclaim_plan::rearrange() {
    const auto movable = idle();
    std::vector<std::vector<slot_share>> before;
    std::size_t placed_before = 0;
    for (const auto index : movable) {
        before.push_back(promises_[index].footprint);
        placed_before += promises_[index].footprint.empty() ? 0 : 1;
        lift(index);
    }
    const bool all = place_all(movable);
    const auto placed = std::count_if(movable.begin(), movable.end(), [&](promise_index index) {
        return !promises_[index].footprint.empty();
    });
    if (static_cast<std::size_t>(placed) > placed_before) {
        return all;
    }
    for (const auto index : movable) {
        lift(index);
    }
    for (std::size_t at = 0; at < movable.size(); ++at) {
        if (!before[at].empty()) {
            lay(movable[at], std::move(before[at]));
        }
    }
    return false;
}

bool reclaim_plan::settle() {
    const auto unplaced = wanting();
    if (unplaced.empty() || place_all(unplaced)) {
        return true;
    }
    return rearrange();
}

std::vector<shortfall> reclaim_plan::shortfalls() const {
    std::vector<shortfall> named;
    for (const auto index : wanting()) {
        const auto& one = promises_[index];
        const auto same = std::find_if(named.begin(), named.end(), [&](const shortfall& known) {
            return known.workspace == one.workspace && known.query == one.query;
        });
        if (same != named.end()) {
            ++same->missing;
        } else {
            named.push_back({one.workspace, one.query, 1});
        }
    }
    return named;
}

}  // namespace baobabrack
