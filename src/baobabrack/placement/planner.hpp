#ifndef BAOBABRACK_PLACEMENT_PLANNER_HPP
#define BAOBABRACK_PLACEMENT_PLANNER_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "baobabrack/config.pb.h"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/time.hpp"
#include "baobabrack/world/fleet.hpp"

namespace baobabrack {

/// A job as the planner sees it.
struct planned_job {
    job_id id;
    workspace_id workspace;
    wire::Shape shape;
    /// Empty: any.
    region_id region;
    data_centre_id data_centre;
    bool urgent = false;
    bool checkpointable = false;
    /// Untrusted.
    duration declared_run{};
    time_point submitted{};
    /// Work that checkpoints have saved so far.
    duration saved{};
    /// Whether an attempt held its members before, so that a place for it has existed.
    bool has_run = false;
};

/// How a running gang ended, as far as planning learns from it.
enum class gang_end { finished, failed, cancelled, preempted, member_lost };

/// A gang to be started.
struct planned_start {
    job_id job;
    std::vector<gang_member> members;
};

/// A running gang to be checkpointed and stopped so that its resources come free.
struct planned_stop {
    job_id job;
    /// Job that the resources are for; empty for defragmentation.
    job_id beneficiary;
};

/// A job that can never run as things stand.
struct planned_refusal {
    job_id job;
    std::string reason;
    std::string remedy;
};

struct plan {
    std::vector<planned_start> starts;
    std::vector<planned_stop> stops;
    std::vector<planned_refusal> refusals;
};

/// Why a job waits.
struct wait_report {
    std::uint32_t position = 0;
    std::string waits_for;
    std::string remedy;
};

/// Decides which gangs start where, and which stop for them. It is told of every event and never
/// acts itself; what it plans takes effect when the events that follow say so.
class planner {
public:
    planner() = default;
    planner(const planner&) = delete;
    planner& operator=(const planner&) = delete;
    virtual ~planner() = default;

    /// A job waits, for the first time or again.
    virtual void job_queued(const planned_job& job) = 0;

    /// A gang holds its members; the fleet has them taken already.
    virtual void gang_started(const planned_job& job, const std::vector<gang_member>& members,
                              time_point at) = 0;

    /// A gang has given its members back; the fleet has them free already.
    virtual void gang_ended(const job_id& job, gang_end how, time_point at) = 0;

    /// A waiting job is gone.
    virtual void job_dropped(const job_id& job) = 0;

    /// Tickets have changed the directory.
    virtual void directory_changed() = 0;

    /// A task failed on a worker, or ran there to its end.
    virtual void task_ended(const worker_id& worker, const job_id& job, bool failed,
                            time_point at) = 0;

    /// Decides what to do now. The caller carries out all of the plan, or reports the gangs it
    /// could not start through `start_failed`.
    virtual plan decide(time_point now) = 0;

    /// A planned start did not come about; the job waits again.
    virtual void start_failed(const job_id& job, const worker_id& culprit, time_point at) = 0;

    /// @return why a job waits; nothing if it does not
    virtual std::optional<wait_report> explain(const job_id& job, time_point now) const = 0;
};

}  // namespace baobabrack

#endif
