#ifndef BAOBABRACK_GANGS_GANG_PROPOSALS_HPP
#define BAOBABRACK_GANGS_GANG_PROPOSALS_HPP

#include <chrono>
#include <functional>
#include <string>

#include "baobabrack/gangs/gang_context.hpp"
#include "baobabrack/gangs/job.hpp"
#include "baobabrack/gangs/persistent_records.hpp"

namespace baobabrack {

/// Records that follow from what has happened: each is proposed until it is in the log or has
/// lost its point.
class gang_proposals {
public:
    explicit gang_proposals(gang_context& context);

    /// An attempt is to be stopped.
    void stop(const job_id& id, attempt_number attempt, wire::StopReason reason);

    /// Every member of a stopping attempt has stopped.
    ///
    /// @param saved   progress that every member's checkpoint holds
    /// @param culprit worker that the failure is put down to; empty if none is
    void release(const job& target, std::chrono::milliseconds saved, const worker_id& culprit);

    /// Every member has run to its end.
    void finish(const job& gang);

    /// A queued job can never run.
    void refuse(const job& queued, const std::string& message);

    /// A cancellation that the log has not taken yet.
    void cancel(const job_id& id, const wire::Record& record);

    void join(const wire::WorkerFacts& facts, std::function<bool()> needed);

    /// @return false if that is under way already
    bool leave(const worker_id& id, incarnation version, const std::string& reason,
               std::function<bool()> needed);

private:
    const job* find_attempt(const job_id& id, attempt_number attempt) const;

    gang_context& context_;
    persistent_records records_;
};

}  // namespace baobabrack

#endif
