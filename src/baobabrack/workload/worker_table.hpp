#ifndef BAOBABRACK_WORKLOAD_WORKER_TABLE_HPP
#define BAOBABRACK_WORKLOAD_WORKER_TABLE_HPP

#include <map>
#include <string>
#include <vector>

#include "baobabrack/units/resources.hpp"
#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/names.hpp"

namespace baobabrack::wire {
class WorkloadWorker;
}

namespace baobabrack::workload {

/// What a worker says of itself.
struct worker_facts {
    worker_life life;
    service_id service;
    data_centre_id data_centre;
    rack_id rack;
    std::vector<label> labels;
    resources capacity;
    bool draining = false;
};

worker_facts from_wire(const host_id& host, const wire::WorkloadWorker& record);
wire::WorkloadWorker to_wire(const worker_facts& facts);

/// How a worker's runs end, to tell a worker that fails what it starts from tasks that fail.
class run_record {
public:
    void succeeded();
    void failed(const job_id& job, time_point now);

    /// @return whether nothing should be started there now: runs of several jobs failed and none
    ///         succeeded since; after a while one more is let through as a trial
    bool suspect(time_point now) const;

private:
    std::vector<job_id> failed_jobs_;
    time_point last_failure_{};
};

/// How fast a worker's runs move against their estimates.
///
/// Answers the load in which a few workers turn slow or stand still while others are idle: such
/// a worker gets nothing new until its last sample is old.
class work_speed {
public:
    /// @param share of the expected progress that a run has made
    void sample(double share, time_point now);

    /// A run has stood still.
    void stalled(time_point now);

    /// @return 1 for a worker that keeps to the estimates, or of which nothing is known
    double value(time_point now) const;

    bool slow(time_point now) const;

private:
    double average_ = 1;
    time_point sampled_{};
};

/// A worker as the leader sees it.
struct worker_state {
    worker_facts facts;
    /// When its guard was last heard.
    time_point heard{};
    /// Whether the worker answers its guard.
    bool answers = false;
    /// Its guard does not extend its lease.
    bool suspended = false;
    /// After this moment its lease has lapsed for certain, unless it is extended.
    time_point lapsed_after{};
    /// Held by every run that is assigned there, also while it stops.
    resources used;
    run_record record;
    work_speed speed;
    /// Set once the runs of this life are known to be gone.
    bool gone = false;
    /// The worker has runs that nobody wants and whose size is not counted in `used`.
    bool has_strays = false;
};

/// The workers of all hosts.
class worker_table {
public:
    worker_state* find(const host_id& host);
    const worker_state* find(const host_id& host) const;

    /// Adds a host or returns it.
    worker_state& at(const host_id& host) { return workers_[host]; }

    std::map<host_id, worker_state>& all() { return workers_; }
    const std::map<host_id, worker_state>& all() const { return workers_; }

    void erase(const host_id& host) { workers_.erase(host); }

private:
    std::map<host_id, worker_state> workers_;
};

/// @return `whole` less `used`, never below nothing
resources left_of(const resources& whole, const resources& used);

}  // namespace baobabrack::workload

#endif
