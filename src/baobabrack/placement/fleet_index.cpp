#include "baobabrack/placement/fleet_index.hpp"

#include <algorithm>

namespace baobabrack {

namespace {

template <typename Unit>
Unit difference(Unit whole, Unit part) {
    return Unit{whole > part ? whole.get() - part.get() : 0};
}

}  // namespace

resources less(const resources& whole, const resources& part) {
    return {.cpu = difference(whole.cpu, part.cpu),
            .memory = difference(whole.memory, part.memory),
            .accelerators = difference(whole.accelerators, part.accelerators)};
}

resources least_of(const resources& left, const resources& right) {
    return {.cpu = std::min(left.cpu, right.cpu),
            .memory = std::min(left.memory, right.memory),
            .accelerators = std::min(left.accelerators, right.accelerators)};
}

fleet_index::fleet_index(fleet& workers)
    : workers_(workers), capacity_(places_), available_(places_) {
    for (const auto& [id, one] : workers_.workers()) {
        worker_joined(one);
    }
    workers_.add_listener(*this);
}

fleet_index::~fleet_index() {
    workers_.remove_listener(*this);
}

void fleet_index::refresh(worker_slot slot) {
    const auto& state = states_[slot];
    available_.set(slot, state.barred ? resources{} : less(state.free, state.held));
    if (listener_ != nullptr) {
        listener_->slot_changed(slot);
    }
}

void fleet_index::worker_joined(const worker& joined) {
    const auto slot = places_.add(joined);
    states_.resize(places_.slot_count());
    states_[slot] = {
        .version = joined.version, .free = joined.free, .held = {}, .claimed = {}, .barred = false};
    capacity_.set(slot, joined.capacity);
    if (listener_ != nullptr) {
        listener_->slot_joined(slot);
    }
    refresh(slot);
}

void fleet_index::worker_left(const worker& left) {
    const auto slot = places_.find(left.id);
    if (slot == topology::no_slot) {
        return;
    }
    states_[slot] = {};
    capacity_.set(slot, {});
    available_.set(slot, {});
    if (listener_ != nullptr) {
        listener_->slot_left(slot);
    }
    places_.remove(left.id);
}

void fleet_index::worker_changed(const worker& changed, const resources&) {
    const auto slot = places_.find(changed.id);
    if (slot == topology::no_slot) {
        return;
    }
    states_[slot].free = changed.free;
    refresh(slot);
}

std::vector<held_share> fleet_index::hold(const std::vector<slot_share>& shares,
                                          const resources& unit) {
    std::vector<held_share> held;
    held.reserve(shares.size());
    for (const auto& share : shares) {
        auto& state = states_[share.slot];
        held.push_back({share.slot, state.version, share.count});
        state.held.add(unit, share.count);
        refresh(share.slot);
    }
    return held;
}

void fleet_index::claim(const std::vector<held_share>& shares, const resources& unit) {
    for (const auto& share : shares) {
        if (is_present(share)) {
            states_[share.slot].claimed.add(unit, share.count);
        }
    }
}

void fleet_index::release(const std::vector<held_share>& shares, const resources& unit,
                          bool claimed) {
    for (const auto& share : shares) {
        if (!is_present(share)) {
            continue;
        }
        auto& state = states_[share.slot];
        state.held.subtract(unit, share.count);
        if (claimed) {
            state.claimed.subtract(unit, share.count);
        }
        refresh(share.slot);
    }
}

resources fleet_index::unclaimed_on(worker_slot slot) const {
    return less(states_[slot].free, states_[slot].claimed);
}

bool fleet_index::is_present(const held_share& share) const {
    return share.slot < states_.size() && places_.slot(share.slot).present &&
           states_[share.slot].version == share.version;
}

void fleet_index::set_barred(worker_slot slot, bool barred) {
    states_[slot].barred = barred;
    refresh(slot);
}

std::vector<gang_member> fleet_index::to_members(const std::vector<slot_share>& shares) const {
    std::vector<gang_member> members;
    members.reserve(shares.size());
    for (const auto& share : shares) {
        members.push_back({places_.slot(share.slot).id, share.count});
    }
    return members;
}

std::vector<held_share> fleet_index::to_shares(const std::vector<gang_member>& members) const {
    std::vector<held_share> shares;
    shares.reserve(members.size());
    for (const auto& member : members) {
        const auto slot = places_.find(member.worker);
        if (slot != topology::no_slot) {
            shares.push_back({slot, states_[slot].version, member.count});
        }
    }
    return shares;
}

}  // namespace baobabrack
