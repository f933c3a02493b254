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

/// A worker, with its total and its free resources.
struct worker {
    worker_id id;
    incarnation version;
    location place;
    resources capacity;
    resources free;
};

/// The part of a gang that runs on one worker.
struct gang_member {
    worker_id worker;
    /// The number of the gang's members on this worker.
    std::uint32_t count = 0;

    friend bool operator==(const gang_member&, const gang_member&) = default;
};

/// Receives every change of a fleet, so that an index can be updated incrementally.
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

/// All workers with their free resources.
class fleet {
public:
    /// Adds a worker, or replaces an older incarnation of it; all resources are then free.
    ///
    /// @return false, with nothing changed, if the same or a newer incarnation is present
    bool join(const wire::WorkerFacts& facts);

    /// Removes a worker if its incarnation is `version`.
    ///
    /// @return whether the worker was removed
    bool leave(const worker_id& id, incarnation version);

    const worker* find(const worker_id& id) const;

    /// Allocates `count` times `part` on a worker.
    ///
    /// @return false, with nothing allocated, if the worker is unknown or has too little free
    bool allocate(const worker_id& id, const resources& part, std::uint32_t count);

    /// Releases resources that `allocate` reserved; has no effect if this incarnation of the worker
    /// has left or been replaced.
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
