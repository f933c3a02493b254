#include "baobabrack/world/fleet.hpp"

#include <algorithm>

#include "baobabrack/platform.pb.h"

namespace baobabrack {

namespace {

worker to_worker(const wire::WorkerFacts& facts) {
    const auto capacity = from_wire(facts.capacity());
    return {.id = worker_id{facts.worker()},
            .version = incarnation{facts.incarnation()},
            .place = {.region = region_id{facts.location().region()},
                      .data_centre = data_centre_id{facts.location().data_centre()},
                      .rack = rack_id{facts.location().rack()}},
            .capacity = capacity,
            .free = capacity};
}

}  // namespace

bool fleet::join(const wire::WorkerFacts& facts) {
    auto joined = to_worker(facts);
    if (const auto* known = find(joined.id)) {
        if (known->version >= joined.version) {
            return false;
        }
        leave(known->id, known->version);
    }
    const auto inserted = workers_.emplace(joined.id, std::move(joined)).first;
    for (auto* listener : listeners_) {
        listener->worker_joined(inserted->second);
    }
    return true;
}

bool fleet::leave(const worker_id& id, incarnation version) {
    const auto found = workers_.find(id);
    if (found == workers_.end() || found->second.version != version) {
        return false;
    }
    const auto left = std::move(found->second);
    workers_.erase(found);
    for (auto* listener : listeners_) {
        listener->worker_left(left);
    }
    return true;
}

const worker* fleet::find(const worker_id& id) const {
    const auto found = workers_.find(id);
    return found == workers_.end() ? nullptr : &found->second;
}

bool fleet::allocate(const worker_id& id, const resources& part, std::uint32_t count) {
    const auto found = workers_.find(id);
    if (found == workers_.end() || found->second.free.fit_count(part) < count) {
        return false;
    }
    const auto before = found->second.free;
    found->second.free.subtract(part, count);
    for (auto* listener : listeners_) {
        listener->worker_changed(found->second, before);
    }
    return true;
}

void fleet::release(const worker_id& id, incarnation version, const resources& part,
                    std::uint32_t count) {
    const auto found = workers_.find(id);
    if (found == workers_.end() || found->second.version != version) {
        return;
    }
    const auto before = found->second.free;
    found->second.free.add(part, count);
    for (auto* listener : listeners_) {
        listener->worker_changed(found->second, before);
    }
}

void fleet::add_listener(fleet_listener& listener) {
    listeners_.push_back(&listener);
}

void fleet::remove_listener(fleet_listener& listener) {
    listeners_.erase(std::remove(listeners_.begin(), listeners_.end(), &listener),
                     listeners_.end());
}

}  // namespace baobabrack
