#ifndef BAOBABRACK_WORKLOAD_EVACUATION_VIEW_HPP
#define BAOBABRACK_WORKLOAD_EVACUATION_VIEW_HPP

#include <optional>
#include <set>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/names.hpp"

namespace baobabrack::wire {
class WorkloadOrders;
}

namespace baobabrack::workload {

/// The part of the bound of evacuations that the age of the information must leave: 800 ms by which
/// a poll reply without records may be older than it counts as (`topic_follower`), 250 ms until the
/// call that starts a run has timed out, 2% of the bound for clocks that run slow, and a reserve of
/// 350 ms.
constexpr duration evacuation_margin = std::chrono::milliseconds{1500};

/// @param bound how long after the store has confirmed an evacuation a run may start there at the
///              latest; zero if no bound is known
///
/// @return how old the knowledge of the evacuated data centres may be when a run starts, or nothing
///         if no bound is known
std::optional<duration> max_evacuation_age(duration bound);

/// What a guard knows of evacuated data centres, from the orders of the leader.
class evacuation_view {
public:
    /// @param own_zone the data centre of the guard's host
    /// @param bound    as of `max_evacuation_age`
    evacuation_view(data_centre_id own_zone, duration bound);

    /// Applies the information in orders that the guard has accepted. They replace what earlier
    /// orders have told: it holds as of the time for which it was confirmed, whoever sends it.
    void apply(const wire::WorkloadOrders& orders);

    /// @return whether nothing may start on the worker, as its data centre or that of the host is
    ///         evacuated
    bool is_evacuated(const data_centre_id& worker_zone) const;

    /// @return whether the information is recent enough to start a run
    bool is_recent(time_point now) const;

private:
    data_centre_id own_zone_;
    std::optional<duration> max_age_;
    std::set<data_centre_id> evacuated_;
    // The leader tells about evacuations.
    bool told_ = false;
    // As of when the set is the latest, by the clock of the guard; at the earliest.
    std::optional<time_point> confirmed_;
};

}  // namespace baobabrack::workload

#endif
