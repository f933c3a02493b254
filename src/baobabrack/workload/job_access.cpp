#include "baobabrack/workload/job_access.hpp"

namespace baobabrack::workload {

namespace {

bool is_owner(const job_spec& job, const caller_identity& caller,
              const workspace_registry& workspaces) {
    if (job.workspace.get().empty()) {
        return job.queue == caller.queue;
    }
    const auto* owner = find_owner(job, workspaces);
    return owner != nullptr && owner == workspaces.find(caller.workspace, caller.config);
}

}  // namespace

// The scheduler that accepted the job may have seen a version that the registry has not, and under
// it another set of keys.
const known_workspace* find_owner(const job_spec& job, const workspace_registry& workspaces) {
    if (const auto* owner = workspaces.find(job.owner)) {
        return owner;
    }
    return job.workspace.get().empty() ? nullptr : workspaces.find(job.workspace, job.config);
}

job_access check_access(const job_spec& job, const caller_identity& caller,
                        const workspace_registry& workspaces) {
    if (is_owner(job, caller, workspaces)) {
        return job_access::granted;
    }
    return job.config > caller.config ? job_access::undetermined : job_access::denied;
}

}  // namespace baobabrack::workload
