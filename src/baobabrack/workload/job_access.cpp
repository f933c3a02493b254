#include "baobabrack/workload/job_access.hpp"

namespace baobabrack::workload {

job_access check_access(const job_spec& job, const caller_identity& caller) {
    const bool has_key = !caller.workspace.get().empty();
    const bool has_owner = !job.workspace.get().empty();
    // A queue may become public after a workspace has submitted jobs, and its callers then send no
    // key any more. Calls without a key are routed to public queues only.
    const bool through_own_queue = job.queue == caller.queue && (!has_owner || !has_key);
    if (through_own_queue || (has_owner && job.workspace == caller.workspace)) {
        return job_access::granted;
    }
    return job.config > caller.config ? job_access::undetermined : job_access::denied;
}

}  // namespace baobabrack::workload
