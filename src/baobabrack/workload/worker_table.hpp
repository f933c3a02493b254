#ifndef BAOBABRACK_WORKLOAD_WORKER_TABLE_HPP
#define BAOBABRACK_WORKLOAD_WORKER_TABLE_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/units/resources.hpp"
#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/names.hpp"

namespace baobabrack::wire {
class WorkloadWorker;
}

namespace baobabrack::workload {

/// The attributes that a worker reports.
struct worker_facts {
    worker_instance instance;
    service_id service;
    data_centre_id data_centre;
    rack_id rack;
    std::vector<label> labels;
    resources capacity;
    bool draining = false;
    /// Time until a draining worker leaves, as of the announcement or report; nothing if not
    /// announced.
    std::optional<duration> time_left;
};

worker_facts from_wire(const host_id& host, const wire::WorkloadWorker& record);
wire::WorkloadWorker to_wire(const worker_facts& facts);

/// Whether a worker may get runs, judged by its recent runs.
enum class worker_health {
    healthy,
    /// A recent fault may have been the worker's. Used only if no healthy worker is left.
    degraded,
    /// Gets the runs of one group at a time, as a test. Runs that it had before its last failure do
    /// not count: they say nothing about runs that start.
    probation,
    /// Gets no runs.
    unhealthy,
};

std::string_view to_string(worker_health health);

/// The outcomes of a worker's recent runs, to tell a faulty worker from failing tasks.
///
/// Without it, a worker that fails every run right after its start always has free capacity and
/// gets one run after another.
class run_history {
public:
    void record_success();
    /// @return whether a run that failed after this time suggests a faulty worker rather than a
    ///         faulty task
    static bool is_quick_failure(duration after);

    /// @param after how long the run lasted
    void record_failure(const job_id& job, duration after, time_point now);

    /// Marks the worker as one of several possible causes of a fault.
    void mark_degraded(time_point now);

    /// @return `unhealthy` after runs of several jobs have failed and none has succeeded since, and
    ///         `probation` some time after the last failure
    worker_health health(time_point now) const;

    /// @return when a run last failed there
    time_point last_failure() const { return last_failure_; }

    /// @return how long a run that starts after the last failure has to go on to count as a
    /// success;
    ///         longer than any of the failed runs went on
    duration proof_time() const;

    /// @return what the health is judged by, for the log
    std::string describe() const;

private:
    std::vector<job_id> failed_jobs_;
    time_point last_failure_{};
    // The longest of the runs that have failed since the last success.
    duration longest_failure_{};
    time_point degraded_at_{};
};

/// The measured progress of a worker's runs relative to their expected progress.
///
/// Some workers become slow or stall while others are idle. Such a worker gets no new runs until
/// its last sample has expired.
class worker_speed {
public:
    /// @param share     measured rate of the worker's fastest run, relative to the expected rate
    /// @param from_gang whether the run belongs to a gang, which another worker may slow down
    void add_sample(double share, bool from_gang, time_point now);

    /// Records that a run has stalled.
    void record_stall(time_point now);

    /// @return 1 if the worker's runs progress as expected or nothing is known about them
    double value(time_point now) const;

    bool is_slow(time_point now) const;

    /// @return how long the worker has been slow, or zero if it is not
    duration slow_duration(time_point now) const;

    /// @return whether the last sample came from a gang, so that another worker may be the slow one
    bool from_gang() const { return from_gang_; }

private:
    double average_ = 1;
    bool from_gang_ = false;
    time_point sampled_at_{};
    time_point slow_since_{};
};

/// The latest lists of a worker that responds are not older than this. They count from when the
/// renewal that returned them was sent: it has waited for half a second for an end, and the next
/// one may have waited for as long.
constexpr duration max_list_age = std::chrono::milliseconds{1200};

/// The leader's state of a worker.
struct worker_state {
    worker_facts facts;
    /// When the last report of its guard arrived.
    time_point last_heard{};
    /// When the first report of this worker instance arrived.
    time_point first_heard{};
    /// When the worker instance began.
    time_point began{};
    /// When a draining worker leaves; nothing if it has not announced that.
    std::optional<time_point> departure;
    /// When the worker returned its latest run lists; zero if this leader has seen none.
    time_point lists_at{};
    /// The same of the last instance that crashed; zero if this is unknown.
    time_point crashed_lists_at{};
    /// When this leader noticed the latest crash.
    time_point crash_noticed_at{};
    /// Whether a run that may have caused the latest crash was on the worker.
    bool crash_had_suspects = false;
    /// Whether the worker responds to its guard.
    bool responding = false;
    /// The worker has not announced its capacity for too long, so its guard starts nothing.
    bool capacity_outdated = false;
    /// Whether its guard has suspended lease renewal.
    bool renewal_suspended = false;
    /// After this time its lease has certainly expired, unless it is renewed.
    time_point lease_expired_after{};
    /// Resources of all runs assigned there, including those that are stopping.
    resources used;
    run_history history;
    /// As last written to the log.
    worker_health reported_health = worker_health::healthy;
    worker_speed speed;
    /// Set once the lease of this worker instance has expired and its runs are lost.
    bool expired = false;
    /// Whether the worker has orphaned runs, whose resources are not included in `used`.
    bool has_orphaned_runs = false;
    /// Index among the candidates of the latest placement pass that included the worker.
    std::size_t candidate_index = 0;
};

/// The workers, one per host.
class worker_table {
public:
    worker_state* find(const host_id& host);
    const worker_state* find(const host_id& host) const;

    /// Returns the worker of a host, adding it if it is missing.
    worker_state& find_or_add(const host_id& host) { return workers_[host]; }

    std::map<host_id, worker_state>& all() { return workers_; }
    const std::map<host_id, worker_state>& all() const { return workers_; }

    void erase(const host_id& host) { workers_.erase(host); }

private:
    std::map<host_id, worker_state> workers_;
};

/// @return `total` minus `used`, with each amount at least zero
resources remaining_resources(const resources& total, const resources& used);

}  // namespace baobabrack::workload

#endif
