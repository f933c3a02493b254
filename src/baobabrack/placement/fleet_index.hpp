#ifndef BAOBABRACK_PLACEMENT_FLEET_INDEX_HPP
#define BAOBABRACK_PLACEMENT_FLEET_INDEX_HPP

#include <vector>

#include "baobabrack/placement/capacity_view.hpp"
#include "baobabrack/placement/place_search.hpp"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/world/fleet.hpp"
#include "baobabrack/world/topology.hpp"

namespace baobabrack {

/// Hears of changes of a fleet index.
class fleet_index_listener {
public:
    fleet_index_listener() = default;
    fleet_index_listener(const fleet_index_listener&) = delete;
    fleet_index_listener& operator=(const fleet_index_listener&) = delete;
    virtual ~fleet_index_listener() = default;

    virtual void slot_joined(worker_slot slot) = 0;
    /// The worker's amounts are nothing from now on; its slot is removed after the call.
    virtual void slot_left(worker_slot slot) = 0;
    /// What is available on the worker has changed.
    virtual void slot_changed(worker_slot slot) = 0;
};

/// Members on one incarnation of a worker.
struct held_share {
    worker_slot slot = 0;
    incarnation version;
    std::uint32_t count = 0;
};

/// Index of a fleet, kept up with every change: the capacity of each worker, and what is
/// available on it, which is what is free and not held for a gang about to start.
class fleet_index final : private fleet_listener {
public:
    /// @param workers outlives the index
    explicit fleet_index(fleet& workers);
    fleet_index(const fleet_index&) = delete;
    fleet_index& operator=(const fleet_index&) = delete;
    ~fleet_index() override;

    /// Tells a listener of every change from now on; it must outlive the index.
    void set_listener(fleet_index_listener& listener) { listener_ = &listener; }

    const topology& places() const { return places_; }
    const capacity_view& capacity() const { return capacity_; }
    const capacity_view& available() const { return available_; }

    /// @return what is free on the worker and not claimed by a gang that starts
    resources unclaimed_on(worker_slot slot) const;

    incarnation version_of(worker_slot slot) const { return states_[slot].version; }

    /// Keeps members' resources for a gang, whether they are free already or will come free.
    std::vector<held_share> hold(const std::vector<slot_share>& shares, const resources& unit);

    /// The gang of a hold starts now: what it holds is free.
    void claim(const std::vector<held_share>& shares, const resources& unit);

    /// Ends a hold; shares on workers that left since are ignored.
    ///
    /// @param claimed whether the hold was claimed
    void release(const std::vector<held_share>& shares, const resources& unit, bool claimed);

    /// @return whether the share's worker is here in the same incarnation
    bool is_present(const held_share& share) const;

    /// Keeps a worker from being offered, or offers it again.
    void set_barred(worker_slot slot, bool barred);

    std::vector<gang_member> to_members(const std::vector<slot_share>& shares) const;

    /// @return the shares on workers that are here
    std::vector<held_share> to_shares(const std::vector<gang_member>& members) const;

private:
    struct slot_state {
        incarnation version;
        resources free;
        resources held;
        resources claimed;
        bool barred = false;
    };

    void worker_joined(const worker& joined) override;
    void worker_left(const worker& left) override;
    void worker_changed(const worker& changed, const resources& free_before) override;
    void refresh(worker_slot slot);

    fleet& workers_;
    fleet_index_listener* listener_ = nullptr;
    topology places_;
    capacity_view capacity_;
    capacity_view available_;
    std::vector<slot_state> states_;
};

/// @return `whole` less `part`, in each resource at least nothing
resources less(const resources& whole, const resources& part);

/// @return the smaller amount of each resource
resources least_of(const resources& left, const resources& right);

}  // namespace baobabrack

#endif
