#ifndef BAOBABRACK_PLACEMENT_RECLAIM_PLAN_HPP
#define BAOBABRACK_PLACEMENT_RECLAIM_PLAN_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "baobabrack/config.pb.h"
#include "baobabrack/placement/capacity_view.hpp"
#include "baobabrack/placement/place_search.hpp"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/time.hpp"
#include "baobabrack/world/topology.hpp"

namespace baobabrack {

/// One promised gang: a guarantee of count n stands for n of them.
struct promise {
    workspace_id workspace;
    place_query query;
    duration notice{};
    /// Where the gang can be placed within the notice; empty while there is no such place.
    std::vector<slot_share> footprint;
    /// Job of the workspace that runs, or is about to run, within the footprint.
    std::optional<job_id> occupant;
    bool in_force = true;
};

/// A guarantee that lost capacity leaves without a place.
struct shortfall {
    workspace_id workspace;
    place_query query;
    std::uint32_t missing = 0;
};

/// An assignment of every promised gang to workers, none of which is promised twice.
///
/// Each worker's capacity divides into footprints, amounts taken by gangs that are not to be
/// stopped, and what is unpromised. Whatever else runs is stopped when a footprint is claimed.
class reclaim_plan {
public:
    using promise_index = std::uint32_t;

    /// @param places outlives the plan
    explicit reclaim_plan(const topology& places);

    /// Sets what a worker has in all. Less than before breaks the footprints on it.
    void set_capacity(worker_slot slot, const resources& capacity);

    /// A worker has left, with all that was taken on it.
    void remove(worker_slot slot);

    /// Replaces a workspace's guarantees; equal promises keep their footprint and occupant.
    void set_promises(const workspace_id& workspace, const std::vector<wire::Guarantee>& promised);

    /// Finds footprints for promises without one, moving idle footprints if it must.
    ///
    /// @return whether every promise has a footprint
    bool settle();

    /// Takes an amount for a gang that is not to be stopped; it must be unpromised.
    void take(const std::vector<slot_share>& shares, const resources& unit);
    void give_back(const std::vector<slot_share>& shares, const resources& unit);

    /// Moves an idle footprint to another place, whose resources must be unpromised.
    void move(promise_index index, const std::vector<slot_share>& place);

    void set_occupant(promise_index index, std::optional<job_id> job);

    const promise& at(promise_index index) const { return promises_[index]; }
    const std::vector<promise>& promises() const { return promises_; }

    /// @return the workspace's promises that are in force
    std::vector<promise_index> promises_of(const workspace_id& workspace) const;

    /// @return what may be taken or promised still
    const capacity_view& unpromised() const { return unpromised_; }

    std::vector<shortfall> shortfalls() const;

    /// @return workers whose unpromised amount changed since the last call
    std::vector<worker_slot> take_changed();

private:
    struct slot_state {
        resources capacity;
        resources used;
        std::vector<promise_index> footprints;
    };

    slot_state& state(worker_slot slot);
    void refresh(worker_slot slot);
    void lay(promise_index index, std::vector<slot_share> place);
    void lift(promise_index index);
    bool place_all(std::vector<promise_index> wanting);
    std::vector<promise_index> wanting() const;
    std::vector<promise_index> idle() const;
    bool rearrange();
    void add_promise(promise&& added);

    const topology& places_;
    capacity_view unpromised_;
    std::vector<slot_state> states_;
    std::vector<promise> promises_;
    std::vector<worker_slot> changed_;
};

/// @return whether the promise entitles its workspace to run a gang of this shape now: it asks
///         for no more than what was promised, and for at least half of it
bool covers(const promise& promised, const place_query& gang);

}  // namespace baobabrack

#endif
