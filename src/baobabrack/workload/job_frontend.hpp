#ifndef BAOBABRACK_WORKLOAD_JOB_FRONTEND_HPP
#define BAOBABRACK_WORKLOAD_JOB_FRONTEND_HPP

#include <functional>
#include <string>

#include "baobabrack/workload/bounded_log.hpp"
#include "baobabrack/workload/job_access.hpp"
#include "baobabrack/workload/job_memory.hpp"
#include "baobabrack/workload/scheduler_node.hpp"

namespace baobabrack::workload {

/// Parts of a caller's request that select the queue and the workspace.
struct request_address {
    std::string host;
    std::string path;
    /// Empty if the request has no key.
    std::string key;
};

/// Result of a call.
enum class reply_status {
    accepted,
    unknown_queue,
    unknown_key,
    unknown_job,
    invalid,
    /// The call had no effect and will have none; the caller may retry it later.
    not_now,
    /// The call may have taken effect.
    unclear,
};

std::string_view to_string(reply_status status);

struct frontend_reply {
    reply_status status = reply_status::accepted;
    /// Explanation for the caller and the log.
    std::string reason;
    /// Phase of the job, if the call asked for it.
    job_phase phase = job_phase::queued;
    /// Number of pending jobs of the queue, if the call asked for it.
    std::uint64_t pending = 0;
    /// Delay after which to retry a call that ended as `not_now`.
    std::chrono::seconds retry_after{1};
};

/// Serves callers' submissions, state queries and cancellations.
///
/// Finds the queue, checks the API key, and reports that a call had no effect only if that is
/// certain. To a caller that does not own a job, the job does not exist.
class job_frontend {
public:
    struct options {
        /// Calls are refused while the configuration was last confirmed longer ago than this, so
        /// that a revoked key is not accepted for longer.
        duration max_key_age = std::chrono::milliseconds{3000};
        /// Deadline of a call that sets none.
        duration default_deadline = std::chrono::milliseconds{3000};
        /// Part of the deadline that is reserved for delivering the reply.
        duration deadline_margin = std::chrono::milliseconds{250};
        /// Submissions above these limits are refused.
        job_memory_limits memory;
    };
    using reply_handler = std::function<void(const frontend_reply&)>;

    job_frontend(options opts, runtime& loop, scheduler_node& node, const config_source& config,
                 metrics_registry& metrics);

    /// The queue that a request is routed to, and the part of the path after the queue's prefix.
    struct route {
        frontend_reply refusal;
        const queue_config* queue = nullptr;
        config_version config;
        workspace_id workspace;
        std::string path_suffix;

        /// @return the origin of the call; only for a request that is not refused
        caller_identity caller() const {
            return {.workspace = workspace, .queue = queue->id, .config = config};
        }
    };

    /// Finds the queue and checks the key. `queue` is null if the request is refused.
    route find_route(const request_address& request);

    /// Submits a job after setting the fields that its queue determines. Rejects an id that another
    /// owner has taken.
    void submit(const route& to, job_spec spec, duration deadline, reply_handler done);

    void cancel(const route& to, const job_id& id, duration deadline, reply_handler done);

    frontend_reply job_state(const route& to, const job_id& id);

    frontend_reply queue_state(const route& to);

    /// Counts and logs a call that was rejected before it reached one of the functions above.
    ///
    /// @param call kind of the call, one of a fixed set of words
    /// @param id   the job that the call names; empty if it names none
    void record_rejection(const std::string& call, const job_id& id, const frontend_reply& reply) {
        record_reply(call, id, reply);
    }

    /// @return whether a load balancer should send callers to this scheduler
    bool ready() const;

private:
    bool config_is_recent() const;
    std::chrono::seconds retry_delay() const;
    duration store_timeout(duration deadline) const;
    void refuse_for_memory(const job_id& id, const caller_identity& caller, reply_handler done);
    void store(const job_spec& spec, const caller_identity& caller, duration deadline,
               reply_handler done);
    job_access check_call(const std::string& call, const stored_job& job,
                          const caller_identity& caller);
    frontend_reply reply_to_repetition(const stored_job& job, const caller_identity& caller);
    bool cancel_if_owned(const job_id& id, const caller_identity& caller, duration deadline,
                         const reply_handler& done);
    void cancel_known(const job_id& id, duration deadline, reply_handler done);
    void record_reply(const std::string& call, const job_id& id, const frontend_reply& reply);

    options options_;
    runtime& loop_;
    scheduler_node& node_;
    const config_source& config_;
    metrics_registry& metrics_;
    // Submissions that are being stored.
    job_memory unfinished_;
    bounded_log rejections_;
    bounded_log foreign_calls_;
};

}  // namespace baobabrack::workload

#endif
