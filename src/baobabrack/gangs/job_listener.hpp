#ifndef BAOBABRACK_GANGS_JOB_LISTENER_HPP
#define BAOBABRACK_GANGS_JOB_LISTENER_HPP

#include <vector>

#include "baobabrack/gangs/job.hpp"

namespace baobabrack {

/// Hears of every transition of the jobs, after it has taken effect.
class job_listener {
public:
    job_listener() = default;
    job_listener(const job_listener&) = delete;
    job_listener& operator=(const job_listener&) = delete;
    virtual ~job_listener() = default;

    /// The job waits, for the first time or again.
    virtual void job_queued(const job& queued) = 0;

    /// An attempt holds its members.
    virtual void gang_committed(const job& committed) = 0;

    /// An attempt is to be stopped; it still holds its members.
    virtual void gang_stopping(const job& stopping) = 0;

    /// An attempt has given back its members; the job's new phase follows in another call.
    ///
    /// @param ended   the job in its new phase
    /// @param members what the attempt held
    /// @param reason  why it was stopped; unspecified if it ran to its end
    virtual void gang_released(const job& ended, const std::vector<job_member>& members,
                               wire::StopReason reason) = 0;

    /// The job is over.
    virtual void job_ended(const job& ended) = 0;

    /// A snapshot has replaced the whole state.
    virtual void state_loaded() = 0;
};

}  // namespace baobabrack

#endif
