#ifndef BAOBABRACK_PLACEMENT_WORKER_HEALTH_HPP
#define BAOBABRACK_PLACEMENT_WORKER_HEALTH_HPP

#include <cstdint>
#include <optional>
#include <set>
#include <unordered_map>
#include <utility>
#include <vector>

#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Judges workers and jobs by how tasks end. A worker that fails far more than the fleet is
/// quarantined and let back on probation; a job that fails on several workers is itself at fault,
/// and its failures do not count against workers any longer.
class worker_health {
public:
    /// A task ended on a worker.
    ///
    /// @return the worker, if it goes into quarantine by this
    std::optional<worker_id> task_ended(const worker_id& worker, const job_id& job, bool failed,
                                        time_point at);

    /// @return workers whose quarantine has ended by now
    std::vector<worker_id> released(time_point now);

    bool is_quarantined(const worker_id& worker) const;

    /// @return whether the job has failed on so many workers that it is at fault itself
    bool is_at_fault(const job_id& job) const;

    /// The job is gone; what is known of it is forgotten.
    void forget(const job_id& job);

    /// The worker is gone; unless it is in quarantine, what is known of it is forgotten.
    void forget(const worker_id& worker);

    /// @return the share of recent tasks in the fleet that failed
    double fleet_failure_rate() const;

private:
    struct record {
        double ended = 0;
        double failed = 0;
        bool quarantined = false;
        bool on_probation = false;
        duration length{};
    };

    bool is_suspect(const record& one) const;
    void quarantine(const worker_id& worker, record& one, time_point at);
    void excuse(const job_id& job);

    std::unordered_map<worker_id, record> workers_;
    std::set<std::pair<time_point, worker_id>> quarantined_;
    std::unordered_map<job_id, std::vector<worker_id>> failures_;
    double fleet_ended_ = 0;
    double fleet_failed_ = 0;
};

}  // namespace baobabrack

#endif
