#ifndef BAOBABRACK_WORKLOAD_WORKER_TABLE_HPP
#define BAOBABRACK_WORKLOAD_WORKER_TABLE_HPP

#include <cstddef>
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
    worker_instance life;
    service_id service;
    data_centre_id data_centre;
    rack_id rack;
    std::vector<label> labels;
    resources capacity;
    bool draining = false;
};

worker_facts from_wire(const host_id& host, const wire::WorkloadWorker& record);
wire::WorkloadWorker to_wire(const worker_facts& facts);

/// Whether a worker may take runs, by how its runs have gone.
enum class worker_standing {
    sound,
    /// Something has gone wrong there that may have another cause: only where no sound one is left.
    doubtful,
    /// Gets one run, to see how it goes.
    on_trial,
    /// Gets nothing.
    suspect,
};

/// How a worker's runs end, to tell a worker that fails what it starts from tasks that fail.
///
/// Answers the load in which a worker fails everything within a moment, so that it is always the
/// one with room and takes one run after the other.
class run_record {
public:
    void succeeded();
    /// @return whether a run that failed after this time rather speaks against the worker than
    ///         against the task
    static bool is_quick(duration after);

    /// @param after how long the run went on
    void failed(const job_id& job, duration after, time_point now);

    /// The worker is one of several that may be the cause of something.
    void doubted(time_point now);

    /// @return suspect after the runs of several jobs have failed and none has succeeded since;
    ///         after a while it is on trial
    worker_standing standing(time_point now) const;

private:
    std::vector<job_id> failed_jobs_;
    time_point last_failure_{};
    time_point last_doubt_{};
};

/// How fast a worker's runs move against what they should.
///
/// Answers the load in which a few workers turn slow or stand still while others are idle: such
/// a worker gets nothing new until its last sample is old.
class work_speed {
public:
    /// @param share  of the expected progress that the fastest run has made
    /// @param shared the run belongs to a gang that another worker may hold up
    void sample(double share, bool shared, time_point now);

    /// A run has stood still.
    void stalled(time_point now);

    /// @return 1 for a worker whose runs move as they should, or of which nothing is known
    double value(time_point now) const;

    bool slow(time_point now) const;

    /// @return for how long the worker has been slow; zero if it is not
    duration slow_for(time_point now) const;

    /// @return whether another worker may be the one that is slow
    bool shared() const { return shared_; }

private:
    double average_ = 1;
    bool shared_ = false;
    time_point sampled_{};
    time_point slow_since_{};
};

/// Position of a worker that is no candidate.
constexpr auto no_position = static_cast<std::size_t>(-1);

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
    /// Among the candidates of the pass of placement that is under way.
    std::size_t position = no_position;
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
