#ifndef BAOBABRACK_GANGS_GANG_STOP_HPP
#define BAOBABRACK_GANGS_GANG_STOP_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>

#include "baobabrack/gangs/gang_context.hpp"
#include "baobabrack/gangs/job.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"
#include "baobabrack/services/worker_service.hpp"

namespace baobabrack {

/// Stops every member of an attempt and collects the proof that each has stopped: the worker's
/// answer, its replacement, or a lease that has surely lapsed.
class gang_stop : public std::enable_shared_from_this<gang_stop> {
public:
    /// Hears of the replies, for the reports in them.
    using heard = std::function<void(const worker_id&, const wire::WorkerReply&)>;
    /// Called once, when every member has stopped and the stop is in the log.
    using stopped = std::function<void()>;
    /// Tells whether the platform's inventory has stopped listing a worker.
    using is_gone = std::function<bool(const worker_id&)>;

    struct callbacks {
        heard on_reply;
        is_gone gone;
        stopped on_stopped;
    };

    gang_stop(gang_context& context, const job& target, callbacks calls);

    /// Sends the stops, and repeats them until the end.
    void begin();

    /// Looks whether the end has come, as after the stop was recorded.
    void look();

    attempt_number attempt() const { return attempt_; }

    /// @return members without proof, for `describe`
    std::vector<worker_id> unproven() const;

private:
    struct member_state {
        bool proven = false;
        bool calling = false;
    };

    void send_stops();
    void send(const job_member& member);
    void on_reply(const job_member& member, const result<wire::WorkerReply>& reply);
    void look_for_proof();
    void prove(const worker_id& worker);
    bool has_lapsed(const job_member& member) const;
    bool is_replaced(const job_member& member) const;
    const job* recorded() const;
    void check_end();

    gang_context& context_;
    job_id id_;
    attempt_number attempt_;
    log_offset token_;
    std::vector<job_member> members_;
    callbacks calls_;
    std::map<worker_id, member_state> states_;
    std::size_t proven_ = 0;
    scoped_timer retry_;
    // When the stop was first seen in the log, and when no entry could renew any more.
    std::optional<time_point> recorded_since_;
    std::optional<time_point> unrenewed_since_;
    bool over_ = false;
};

}  // namespace baobabrack

#endif
