#ifndef BAOBABRACK_GANGS_JOB_HPP
#define BAOBABRACK_GANGS_JOB_HPP

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/records.pb.h"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/resources.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Where a job stands.
enum class job_phase {
    /// It waits for resources and holds none.
    queued,
    /// An attempt holds its members, which are being started or run.
    committed,
    /// An attempt still holds its members, which are being stopped.
    stopping,
    finished,
    failed,
    cancelled,
};

/// @return the phase's name as it stands in answers and logs
std::string_view to_string(job_phase phase);

/// @return whether the job is over
constexpr bool is_ended(job_phase phase) {
    return phase >= job_phase::finished;
}

/// @return the reason's name as it stands in answers and metrics
std::string_view to_string(wire::StopReason reason);

/// @return the name of a task's phase as it stands in answers
std::string_view to_string(wire::TaskPhase phase);

/// Part of a gang on one incarnation of a worker.
struct job_member {
    worker_id worker;
    incarnation version;
    std::uint32_t count = 0;

    friend bool operator==(const job_member&, const job_member&) = default;
};

/// One stop of an attempt.
struct stop_note {
    attempt_number attempt;
    wire::StopReason reason = wire::STOP_REASON_UNSPECIFIED;
    wall_time at{};
    /// Worker that the failure is put down to; empty if none is.
    worker_id failed_worker;
    /// From the commit of the attempt to this stop.
    std::chrono::milliseconds lasted{};
    /// Whether the worker of a member had left or been replaced when the attempt was released.
    bool lost_worker = false;
};

/// A job as the log has it.
struct job {
    job_id id;
    wire::JobSpec spec;
    job_phase phase = job_phase::queued;
    /// Last attempt that was committed; zero before the first.
    attempt_number attempt;
    /// Offset of that attempt's commit: its fencing token.
    log_offset token;
    /// Offset of the record that began to stop the attempt, while `stopping`.
    log_offset stop_offset;
    /// Empty unless `committed` or `stopping`.
    std::vector<job_member> members;
    wire::StopReason stopping = wire::STOP_REASON_UNSPECIFIED;
    bool cancel_requested = false;
    /// Progress that the next attempt resumes from.
    std::chrono::milliseconds checkpoint{};
    /// Failed attempts that count against `max_attempts`.
    std::uint32_t failures = 0;
    wall_time submitted{};
    /// When the phase last changed.
    wall_time changed{};
    /// The latest stops, oldest first.
    std::vector<stop_note> stops;
    /// Why the job ended as it did, or was cancelled.
    std::string message;

    /// @return what one member of the gang needs
    resources per_member() const { return from_wire(spec.shape().per_member()); }
};

}  // namespace baobabrack

#endif
