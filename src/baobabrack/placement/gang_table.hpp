#ifndef BAOBABRACK_PLACEMENT_GANG_TABLE_HPP
#define BAOBABRACK_PLACEMENT_GANG_TABLE_HPP

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <vector>

#include "baobabrack/placement/fleet_index.hpp"
#include "baobabrack/placement/planner.hpp"
#include "baobabrack/placement/reclaim_plan.hpp"

namespace baobabrack {

/// A gang that holds its members, or is about to.
struct active_gang {
    planned_job job;
    place_query query;
    std::vector<held_share> members;
    time_point started{};
    /// Footprint that it runs in.
    std::optional<reclaim_plan::promise_index> promise;
    /// Its resources are taken from the reclaim plan: it is not stopped for a guarantee.
    bool firm = false;
    /// Planned, and not reported as started yet; its members are held.
    bool starting = false;
    bool stopping = false;
    /// Waited so long that only a guarantee or urgent work may stop it now.
    bool shielded = false;
    bool in_use = false;

    /// @return what it has run in all
    duration attained(time_point now) const;

    /// @return seconds of accelerator time that a stop now would lose
    double lost_work(time_point now) const;
};

/// The gangs by job and by worker.
class gang_table {
public:
    using gang_index = std::uint32_t;

    gang_index add(active_gang&& gang);
    void remove(gang_index index);

    std::optional<gang_index> find(const job_id& job) const;

    active_gang& at(gang_index index) { return gangs_[index]; }
    const active_gang& at(gang_index index) const { return gangs_[index]; }

    /// @return gangs with a member on the worker
    const std::vector<gang_index>& on(worker_slot slot) const;

    const std::vector<active_gang>& all() const { return gangs_; }
    std::size_t size() const { return by_job_.size(); }

private:
    std::vector<active_gang> gangs_;
    std::vector<gang_index> unused_;
    std::unordered_map<job_id, gang_index> by_job_;
    std::vector<std::vector<gang_index>> by_slot_;
};

/// @return the shares without incarnations
std::vector<slot_share> plain_shares(const std::vector<held_share>& members);

}  // namespace baobabrack

#endif
