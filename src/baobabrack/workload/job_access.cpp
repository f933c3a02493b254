#include "baobabrack/workload/job_access.hpp"

namespace baobabrack::workload {

job_access check_access(const job_spec& job, const caller_identity& caller) {
    const bool has_owner = !job.workspace.get().empty();
    if (has_owner ? job.workspace == caller.workspace : job.queue == caller.queue) {
        return job_access::granted;
    }
    return job.config > caller.config ? job_access::undetermined : job_access::denied;
}

}  // namespace baobabrack::workload
