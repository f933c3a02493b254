#include "baobabrack/gangs/job.hpp"

namespace baobabrack {

std::string_view to_string(job_phase phase) {
    switch (phase) {
        case job_phase::queued:
            return "queued";
        case job_phase::committed:
            return "committed";
        case job_phase::stopping:
            return "stopping";
        case job_phase::finished:
            return "finished";
        case job_phase::failed:
            return "failed";
        case job_phase::cancelled:
            return "cancelled";
    }
    return "unknown";
}

std::string_view to_string(wire::StopReason reason) {
    switch (reason) {
        case wire::STOP_MEMBER_LOST:
            return "member_lost";
        case wire::STOP_PREEMPTED:
            return "preempted";
        case wire::STOP_CANCELLED:
            return "cancelled";
        case wire::STOP_TASK_FAILED:
            return "task_failed";
        case wire::STOP_DEFRAGMENTED:
            return "defragmented";
        case wire::STOP_START_FAILED:
            return "start_failed";
        default:
            return "unspecified";
    }
}

std::string_view to_string(wire::TaskPhase phase) {
    switch (phase) {
        case wire::TASK_PREPARED:
            return "prepared";
        case wire::TASK_RUNNING:
            return "running";
        case wire::TASK_FINISHED:
            return "finished";
        case wire::TASK_FAILED:
            return "failed";
        case wire::TASK_STOPPED:
            return "stopped";
        case wire::TASK_LEASE_LAPSED:
            return "lease_lapsed";
        default:
            return "unknown";
    }
}

}  // namespace baobabrack
