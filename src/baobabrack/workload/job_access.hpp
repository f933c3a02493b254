#ifndef BAOBABRACK_WORKLOAD_JOB_ACCESS_HPP
#define BAOBABRACK_WORKLOAD_JOB_ACCESS_HPP

#include "baobabrack/workload/job_spec.hpp"
#include "baobabrack/workload/workspace_registry.hpp"

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

/// @return the workspace that submitted the job, under whatever name, or null
const known_workspace* find_owner(const job_spec& job, const workspace_registry& workspaces);

/// A job belongs to the workspace that submitted it, and a job that was submitted without a key to
/// its queue. Neither changes with the configuration, which may move queues, replace keys and
/// rename workspaces.
job_access check_access(const job_spec& job, const caller_identity& caller,
                        const workspace_registry& workspaces);

}  // namespace baobabrack::workload

#endif
