#include "baobabrack/node/entry_responsibility.hpp"

#include <algorithm>

#include "baobabrack/gangs/job_state.hpp"
#include "baobabrack/ledger/replica.hpp"
#include "baobabrack/membership/entry_set.hpp"
#include "baobabrack/membership/roster.hpp"

namespace baobabrack {

bool entry_responsibility::has_joined() const {
    return entry_set_.is_joined(roster_.self(), version_);
}

bool entry_responsibility::is_mine(const job_id& job) const {
    return has_joined() && roster_.owner("job/" + job.get()) == roster_.self();
}

bool entry_responsibility::is_mine(const worker_id& worker) const {
    const auto* known = jobs_.workers().find(worker);
    const auto region = known == nullptr ? region_id{} : known->place.region;
    return has_joined() &&
           roster_.owner_in_region(region, "worker/" + worker.get()) == roster_.self();
}

bool entry_responsibility::all_past(log_offset offset) const {
    if (replica_.next_offset() <= offset) {
        return false;
    }
    const auto& entries = entry_set_.entries();
    return std::all_of(entries.begin(), entries.end(), [&](const auto& entry) {
        if (entry.first == roster_.self()) {
            return true;
        }
        const auto peer = roster_.peers().find(entry.first);
        return peer != roster_.peers().end() && roster_.is_alive(peer->second) &&
               peer->second.version.get() == entry.second.joined().incarnation() &&
               peer->second.next_offset > offset;
    });
}

duration entry_responsibility::unconfirmed() const {
    const bool current = replica_.ready() && replica_.phase() == replica_phase::following;
    return current ? replica_.since_last_read() : duration::max();
}

}  // namespace baobabrack
