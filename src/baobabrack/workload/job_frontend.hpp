#ifndef BAOBABRACK_WORKLOAD_JOB_FRONTEND_HPP
#define BAOBABRACK_WORKLOAD_JOB_FRONTEND_HPP

#include <functional>
#include <string>

#include "baobabrack/workload/scheduler_node.hpp"

namespace baobabrack::workload {

/// How a caller named what it wants.
struct request_address {
    std::string host;
    std::string path;
    /// Empty if the caller showed none.
    std::string key;
};

/// How a call is answered.
enum class reply_status {
    accepted,
    unknown_queue,
    unknown_key,
    unknown_job,
    invalid,
    /// Not done, and never will be; worth trying again after a while.
    not_now,
    /// Perhaps done.
    unclear,
};

std::string_view to_string(reply_status answer);

struct frontend_reply {
    reply_status status = reply_status::accepted;
    /// For the caller and the log.
    std::string reason;
    /// Of the job, if one was asked for.
    job_phase phase = job_phase::queued;
    /// Of the queue, if it was asked for.
    std::uint64_t pending = 0;
    /// With `not_now`: when to come back.
    std::chrono::seconds retry_after{1};
};

/// Takes callers' submissions, questions and cancels: checks the key, finds the queue, and never
/// says that something was not done unless that is proved.
class job_frontend {
public:
    struct options {
        /// Keyed calls are refused while the configuration is known to be no newer than this.
        duration max_key_age = std::chrono::milliseconds{3000};
        /// A caller that names no deadline waits this long.
        duration default_deadline = std::chrono::milliseconds{3000};
        /// Kept back from the deadline for the way of the answer.
        duration deadline_margin = std::chrono::milliseconds{250};
    };
    using reply_handler = std::function<void(const frontend_reply&)>;

    job_frontend(options opts, runtime& loop, scheduler_node& node, const config_source& config,
                 metrics_registry& metrics);

    /// Where a call leads: a queue, and the rest of the path behind its prefix.
    struct route {
        frontend_reply refusal;
        const queue_config* queue = nullptr;
        workspace_id workspace;
        std::string path_suffix;
    };

    /// Finds the queue and checks the key; `queue` is null if the call is refused.
    route find_route(const request_address& from);

    /// Hands a job in; what its queue promises is filled in here.
    void submit(const route& to, job_spec spec, duration deadline, reply_handler done);

    void cancel(const route& to, const job_id& id, duration deadline, reply_handler done);

    frontend_reply job_state(const route& to, const job_id& id);

    frontend_reply queue_state(const route& to);

    /// @return whether callers should be sent here
    bool ready() const;

private:
    bool config_known() const;
    std::chrono::seconds come_back() const;
    duration time_for(duration deadline) const;
    void answered(const std::string& call, const job_id& id, const frontend_reply& reply);

    options options_;
    runtime& loop_;
    scheduler_node& node_;
    const config_source& config_;
    metrics_registry& metrics_;
};

}  // namespace baobabrack::workload

#endif
