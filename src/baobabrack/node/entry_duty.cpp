#include "baobabrack/node/entry_duty.hpp"

#include <algorithm>

#include "baobabrack/gangs/job_state.hpp"
#include "baobabrack/ledger/replica.hpp"
#include "baobabrack/membership/entry_set.hpp"
#include "baobabrack/membership/roster.hpp"

namespace baobabrack {

bool entry_duty::has_joined() const {
    return joined_.is_joined(live_.self(), version_);
}

bool entry_duty::is_mine(const job_id& job) const {
    return has_joined() && live_.owner("job/" + job.get()) == live_.self();
}

bool entry_duty::is_mine(const worker_id& worker) const {
    const auto* known = jobs_.workers().find(worker);
    const auto region = known == nullptr ? region_id{} : known->place.region;
    return has_joined() && live_.owner_in_region(region, "worker/" + worker.get()) == live_.self();
}

bool entry_duty::all_past(log_offset offset) const {
    if (reader_.next_offset() <= offset) {
        return false;
    }
    const auto& entries = joined_.entries();
    return std::all_of(entries.begin(), entries.end(), [&](const auto& item) {
        if (item.first == live_.self()) {
            return true;
        }
        const auto heard = live_.peers().find(item.first);
        return heard != live_.peers().end() && live_.is_alive(heard->second) &&
               heard->second.version.get() == item.second.joined().incarnation() &&
               heard->second.next_offset > offset;
    });
}

duration entry_duty::unconfirmed() const {
    const bool current = reader_.ready() && reader_.phase() == replica_phase::following;
    return current ? reader_.since_last_read() : duration::max();
}

}  // namespace baobabrack
