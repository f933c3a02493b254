#ifndef BAOBABRACK_GANGS_GANG_START_HPP
#define BAOBABRACK_GANGS_GANG_START_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

#include "baobabrack/gangs/gang_context.hpp"
#include "baobabrack/gangs/job.hpp"
#include "baobabrack/ledger/replicated_state.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"
#include "baobabrack/services/worker_service.hpp"

namespace baobabrack {

/// One try to get a gang granted: holds the members on every worker under short leases, then
/// proposes the commit. Anything short of all prepared releases all.
class gang_start : public std::enable_shared_from_this<gang_start> {
public:
    enum class end {
        /// The commit was applied; the start of its tasks is up to whoever follows the state.
        committed,
        /// A worker refused or did not answer.
        refused,
        /// The log refused the commit, or it is proved not to be in it.
        void_commit,
        /// The commit may still appear, but its members' leases have lapsed.
        in_doubt,
    };
    /// @param culprit worker that refused or did not answer; empty if none
    using ended = std::function<void(end how, const worker_id& culprit)>;

    gang_start(gang_context& context, const job& target, attempt_number attempt,
               std::vector<job_member> members, ended done);

    /// Sends the prepares.
    void begin();

    /// Gives up; prepared members are released.
    void abandon();

    attempt_number attempt() const { return attempt_; }

private:
    void on_prepared(const job_member& member, const result<wire::WorkerReply>& reply);
    void commit();
    void on_committed(const result<record_position>& applied);
    void release_members();
    void finish(end how, const worker_id& culprit);

    gang_context& context_;
    job target_;
    attempt_number attempt_;
    std::vector<job_member> members_;
    ended done_;
    std::size_t waiting_;
    time_point begun_;
    scoped_timer doubt_;
    bool over_ = false;
};

}  // namespace baobabrack

#endif
