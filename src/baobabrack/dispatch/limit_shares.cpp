#include "baobabrack/dispatch/limit_shares.hpp"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace baobabrack {

namespace {

// At most this fraction of a limit is kept for entries of other regions.
constexpr std::uint32_t reserve_divisor = 4;

std::uint64_t rank_of(const target_id& target, const share_holder& holder) {
    const auto& entry = holder.entry.get();
    const auto seed = XXH3_64bits(target.get().data(), target.get().size());
    return XXH3_64bits_withSeed(entry.data(), entry.size(), seed);
}

}  // namespace

std::uint32_t split_limit(const shared_limit& limit, const std::vector<share_holder>& holders,
                          const share_holder& self) {
    if (std::find(holders.begin(), holders.end(), self) == holders.end()) {
        return 0;
    }
    const auto near = static_cast<std::uint32_t>(
        std::count_if(holders.begin(), holders.end(),
                      [&](const share_holder& one) { return one.region == limit.region; }));
    const auto far = static_cast<std::uint32_t>(holders.size()) - near;
    const auto reserve = near == 0 ? limit.most : std::min(far, limit.most / reserve_divisor);
    const bool is_near = self.region == limit.region;
    const auto among = is_near ? near : far;
    const auto amount = is_near ? limit.most - reserve : reserve;
    const auto own = std::pair{rank_of(limit.target, self), self};
    const auto ahead = std::count_if(holders.begin(), holders.end(), [&](const auto& other) {
        const bool same_side = (other.region == limit.region) == is_near;
        return same_side && std::pair{rank_of(limit.target, other), other} < own;
    });
    return amount / among + (ahead < amount % among ? 1 : 0);
}

limit_shares::limit_shares(runtime& loop, const entry_set& entries, entry_id self,
                           incarnation version, options opts)
    : loop_(loop),
      entries_(entries),
      self_(std::move(self)),
      version_(version),
      options_(opts),
      log_seen_(loop.now()) {
}

void limit_shares::rejoined(incarnation version) {
    version_ = version;
    refreshed_.reset();
}

void limit_shares::log_seen(time_point as_of) {
    log_seen_ = std::max(log_seen_, as_of);
    refreshed_.reset();
}

void limit_shares::heard(const entry_id& peer, incarnation version, log_offset next_offset) {
    auto& kept = replayed_[{peer, version}];
    kept = std::max(kept, next_offset);
    refreshed_.reset();
}

duration limit_shares::time_to_stop(const wire::DepartedEntry& gone) const {
    // A replaced incarnation's process is gone: one id is run by one process at a time.
    if (gone.replaced()) {
        return options_.longest_request;
    }
    return options_.sight_limit + options_.longest_request + options_.margin;
}

void limit_shares::note_departures() {
    for (const auto& [key, gone] : entries_.departed()) {
        departures_.try_emplace(
            key, departure{loop_.now() + time_to_stop(gone), region_id{gone.location().region()}});
    }
    // Once over, a departure is remembered as long as the replicated state shows it.
    std::erase_if(departures_, [&](const auto& item) {
        const bool over = item.second.over_at <= loop_.now();
        return over && !entries_.departed().contains(item.first);
    });
}

bool limit_shares::acknowledged(const wire::KeptEntry& own) const {
    const auto replayed = [&](const entry_set::incarnation_key& key) {
        const auto found = replayed_.find(key);
        return found != replayed_.end() && found->second.get() > own.offset();
    };
    for (const auto& [id, other] : entries_.entries()) {
        const bool joined_later = other.offset() > own.offset();
        if (id != self_ && !joined_later &&
            !replayed({id, incarnation{other.joined().incarnation()}})) {
            return false;
        }
    }
    return std::all_of(departures_.begin(), departures_.end(), [&](const auto& item) {
        return item.second.over_at <= loop_.now() || replayed(item.first);
    });
}

void limit_shares::refresh() {
    const std::pair current{loop_.now(), entries_.change_count()};
    if (refreshed_ == current) {
        return;
    }
    refreshed_ = current;
    note_departures();
    holders_.clear();
    for (const auto& [id, other] : entries_.entries()) {
        holders_.push_back({id, region_id{other.joined().location().region()}});
    }
    for (const auto& [key, gone] : departures_) {
        const share_holder left{key.first, gone.region};
        const bool known = std::find(holders_.begin(), holders_.end(), left) != holders_.end();
        if (gone.over_at > loop_.now() && !known) {
            holders_.push_back(left);
        }
    }
    const auto* own = entries_.find(self_);
    own_ = {self_, own == nullptr ? region_id{} : region_id{own->joined().location().region()}};
    // Who joins later has replayed this join before its own, so one acknowledgement is for good.
    if (own != nullptr && acknowledged_join_ != own->offset() && acknowledged(*own)) {
        acknowledged_join_ = own->offset();
    }
    usable_ = own != nullptr && entries_.is_joined(self_, version_) &&
              loop_.now() - log_seen_ <= options_.sight_limit &&
              acknowledged_join_ == own->offset();
}

bool limit_shares::usable() {
    refresh();
    return usable_ || options_.ignore_others;
}

std::uint32_t limit_shares::part(const shared_limit& limit) {
    if (options_.ignore_others) {
        return limit.most;
    }
    refresh();
    return usable_ ? split_limit(limit, holders_, own_) : 0;
}

std::size_t limit_shares::holders() {
    refresh();
    return std::max<std::size_t>(holders_.size(), 1);
}

}  // namespace baobabrack
