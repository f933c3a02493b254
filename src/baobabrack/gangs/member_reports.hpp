#ifndef BAOBABRACK_GANGS_MEMBER_REPORTS_HPP
#define BAOBABRACK_GANGS_MEMBER_REPORTS_HPP

#include <chrono>
#include <map>
#include <optional>

#include "baobabrack/platform.pb.h"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/resources.hpp"

namespace baobabrack {

struct job;

/// What this entry has heard of one member of an attempt.
struct member_report {
    wire::TaskPhase phase = wire::TASK_PHASE_UNSPECIFIED;
    std::chrono::milliseconds progress{};
    std::chrono::milliseconds checkpoint{};
    /// Lags behind what the task does.
    resources usage;
};

/// @return whether a task in this phase has ended and holds nothing
constexpr bool is_terminal(wire::TaskPhase phase) {
    return phase >= wire::TASK_FINISHED;
}

/// What this entry has heard of the members of every live attempt. Not replicated: another entry
/// hears the same from the workers.
class member_reports {
public:
    /// Takes a report in; a terminal phase is never taken back. Older attempts are ignored.
    ///
    /// @return whether the phase changed
    bool hear(const worker_id& worker, const wire::TaskReport& report);

    /// Notes that a worker has confirmed a task's start.
    void started(const worker_id& worker, const job_id& job, attempt_number attempt);

    /// @return what is known of a member; null if nothing is
    const member_report* find(const worker_id& worker, const job_id& job,
                              attempt_number attempt) const;

    /// @return whether every member has run to its end
    bool all_finished(const job& gang) const;

    /// @return progress that every member's checkpoint has saved
    std::chrono::milliseconds saved(const job& gang) const;

    /// @return least progress heard of any member
    std::chrono::milliseconds progress(const job& gang) const;

    void forget(const job_id& job) { attempts_.erase(job); }

private:
    struct attempt_reports {
        attempt_number attempt;
        std::map<worker_id, member_report> members;
    };

    member_report* open(const worker_id& worker, const job_id& job, attempt_number attempt);

    std::map<job_id, attempt_reports> attempts_;
};

}  // namespace baobabrack

#endif
