#ifndef BAOBABRACK_GANGS_GANG_LAUNCH_HPP
#define BAOBABRACK_GANGS_GANG_LAUNCH_HPP

#include <functional>
#include <map>
#include <memory>

#include "baobabrack/gangs/gang_context.hpp"
#include "baobabrack/gangs/job.hpp"
#include "baobabrack/services/worker_service.hpp"

namespace baobabrack {

/// Starts the tasks of a committed attempt on all its workers.
class gang_launch : public std::enable_shared_from_this<gang_launch> {
public:
    /// Called for each member that has started.
    using started = std::function<void(const worker_id&)>;
    /// Called once, at the end.
    ///
    /// @param culprit worker that refused or did not answer; empty if all have started
    using ended = std::function<void(const worker_id& culprit)>;

    gang_launch(gang_context& context, const job& committed, started one, ended done);

    /// Sends the starts.
    void begin();

private:
    void send(const job_member& member);
    void on_reply(const job_member& member, const result<wire::WorkerReply>& reply);
    void finish(const worker_id& culprit);

    gang_context& context_;
    job target_;
    started one_;
    ended done_;
    std::size_t waiting_;
    time_point begun_;
    bool over_ = false;
};

}  // namespace baobabrack

#endif
