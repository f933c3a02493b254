#ifndef BAOBABRACK_DISPATCH_LIMIT_SHARES_HPP
#define BAOBABRACK_DISPATCH_LIMIT_SHARES_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "baobabrack/membership/entry_set.hpp"
#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/units/ids.hpp"

namespace baobabrack {

/// An entry that may use a part of targets' limits.
struct share_holder {
    entry_id entry;
    region_id region;

    friend auto operator<=>(const share_holder&, const share_holder&) = default;
};

/// What a limit is a limit of.
struct shared_limit {
    target_id target;
    region_id region;
    std::uint32_t most = 0;
};

/// Splits a limit among holders: evenly among those of the target's region, with a small reserve
/// of one each for the others; what is left over goes by an order that the target's id gives.
///
/// Another holder never raises anybody's part. So the parts in use stay within the limit as long
/// as every user of one counts at least all other users among the holders.
///
/// @return the part of `self`; zero if it is not among the holders
std::uint32_t split_limit(const shared_limit& limit, const std::vector<share_holder>& holders,
                          const share_holder& self);

/// This entry's part of every target's limits, which holds through joins, deaths and log outages
/// without any agreement but the replayed log.
///
/// An entry that joined uses its part once every other holder has said that it has replayed the
/// join. An incarnation that left without draining keeps its part until it has surely stopped: an
/// entry without sight of the log gives its part up before that.
class limit_shares {
public:
    struct options {
        /// How long a part is used without sight of the log. Longer than a log outage lasts.
        duration sight_limit = std::chrono::minutes{12};
        /// How long the requests of an incarnation may run on at targets after it stopped.
        duration longest_request = std::chrono::seconds{35};
        /// Allowance for clocks of different rates and messages under way.
        duration margin = std::chrono::seconds{60};
        /// Test only: uses parts of its own reckoning at once, as if nobody else were there.
        bool ignore_others = false;
    };

    limit_shares(runtime& loop, const entry_set& entries, entry_id self, incarnation version,
                 options opts);

    /// The local replica had read the whole log at this time.
    void log_seen(time_point as_of);

    /// Another entry has replayed the log up to an offset, as its heartbeat says.
    void heard(const entry_id& peer, incarnation version, log_offset next_offset);

    /// This process has joined anew under a higher incarnation.
    void rejoined(incarnation version);

    /// @return whether this entry may use its part now
    bool usable();

    /// @return this entry's part of a limit; zero while it may not use it
    std::uint32_t part(const shared_limit& limit);

    /// @return how many entries hold parts, itself among them
    std::size_t holders();

private:
    struct departure {
        time_point over_at{};
        region_id region;
    };

    void refresh();
    void note_departures();
    bool acknowledged(const wire::KeptEntry& own) const;
    duration time_to_stop(const wire::DepartedEntry& gone) const;

    runtime& loop_;
    const entry_set& entries_;
    entry_id self_;
    incarnation version_;
    options options_;
    time_point log_seen_{};
    std::map<entry_set::incarnation_key, log_offset> replayed_;
    std::map<entry_set::incarnation_key, departure> departures_;
    std::vector<share_holder> holders_;
    share_holder own_;
    // Time and state of the entries that `holders_` and `usable_` were computed for.
    std::optional<std::pair<time_point, std::uint64_t>> refreshed_;
    bool usable_ = false;
};

}  // namespace baobabrack

#endif
