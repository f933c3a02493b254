#ifndef BAOBABRACK_WORLD_FLEET_HPP
#define BAOBABRACK_WORLD_FLEET_HPP

#include <map>
#include <string>
#include <vector>

#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/resources.hpp"

namespace baobabrack {

namespace wire {
class WorkerFacts;
}

struct location {
    region_id region;
    data_centre_id data_centre;
    rack_id rack;

    friend bool operator==(const location&, const location&) = default;
};

/// A machine that runs tasks, with what is free on it.
struct worker {
    worker_id id;
    incarnation version;
    location place;
    resources capacity;
    resources free;
};

/// Part of a gang on one worker.
struct gang_member {
    worker_id worker;
    /// How many members of the gang's shape.
    std::uint32_t count = 0;

    friend bool operator==(const gang_member&, const gang_member&) = default;
};

/// Hears of every change of a fleet, so that an index can be kept incrementally.
class fleet_listener {
public:
    fleet_listener() = default;
    fleet_listener(const fleet_listener&) = delete;
    fleet_listener& operator=(const fleet_listener&) = delete;
    virtual ~fleet_listener() = default;

    virtual void worker_joined(const worker& joined) = 0;
    virtual void worker_left(const worker& left) = 0;
    /// The worker's free resources have changed.
    virtual void worker_changed(const worker& changed, const resources& free_before) = 0;
};

/// Every worker and what is free on it.
class fleet {
public:
    /// Adds a worker, or replaces one by its newer incarnation with everything free.
    ///
    /// @return whether anything changed; an older or equal incarnation changes nothing
    bool join(const wire::WorkerFacts& facts);

    /// Removes a worker if it still is this incarnation.
    ///
    /// @return whether it was there
    bool leave(const worker_id& id, incarnation version);

    const worker* find(const worker_id& id) const;

    /// Takes `count` times `part` from a worker.
    ///
    /// @return false, with nothing taken, if that is not free
    bool allocate(const worker_id& id, const resources& part, std::uint32_t count);

    /// Returns what `take` took; ignored for a worker that is gone or was replaced since.
    void release(const worker_id& id, incarnation version, const resources& part,
                 std::uint32_t count);

    const std::map<worker_id, worker>& workers() const { return workers_; }

    /// Adds a listener, which must outlive the fleet or be removed first.
    void add_listener(fleet_listener& listener);
    void remove_listener(fleet_listener& listener);

private:
    std::map<worker_id, worker> workers_;
    std::vector<fleet_listener*> listeners_;
};

}  // namespace baobabrack

#endif
