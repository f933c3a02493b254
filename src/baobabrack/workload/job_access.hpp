#ifndef BAOBABRACK_WORKLOAD_JOB_ACCESS_HPP
#define BAOBABRACK_WORKLOAD_JOB_ACCESS_HPP

#include "baobabrack/workload/job_spec.hpp"

namespace baobabrack::workload {

/// The origin of a call, as one version of the configuration describes it.
struct caller_identity {
    /// The workspace that owns the call's key; empty if the call has no valid key.
    workspace_id workspace;
    /// The queue that the call is routed to.
    queue_id queue;
    config_version config;
};

/// Whether a caller may see and change a job.
enum class job_access {
    granted,
    denied,
    /// The job was accepted under a newer configuration, which may know the caller's key or queue.
    undetermined,
};

/// A job belongs to the workspace that submitted it, and a job that was submitted without a key to
/// its queue. Neither changes with the configuration, which may move queues and replace keys.
job_access check_access(const job_spec& job, const caller_identity& caller);

}  // namespace baobabrack::workload

#endif
