#include "baobabrack/gangs/planner_feed.hpp"

#include <algorithm>

#include "baobabrack/gangs/job_state.hpp"
#include "baobabrack/placement/planner.hpp"
#include "baobabrack/runtime/runtime.hpp"

namespace baobabrack {

namespace {

time_point runtime_time(const runtime& loop, wall_time at) {
    const auto age = std::max(loop.wall_now() - at, std::chrono::milliseconds::zero());
    return loop.now() - age;
}

planned_job to_planned(const job& from, const runtime& loop) {
    return {.id = from.id,
            .workspace = workspace_id{from.spec.workspace()},
            .shape = from.spec.shape(),
            .region = region_id{from.spec.region()},
            .data_centre = data_centre_id{from.spec.data_centre()},
            .urgent = from.spec.urgent(),
            .checkpointable = from.spec.checkpointable(),
            .declared_run = std::chrono::milliseconds{from.spec.declared_run_ms()},
            .submitted = runtime_time(loop, from.submitted),
            .saved = from.checkpoint,
            .has_run = from.attempt.get() > 0};
}

std::vector<gang_member> to_planned(const std::vector<job_member>& members) {
    std::vector<gang_member> planned;
    planned.reserve(members.size());
    for (const auto& member : members) {
        planned.push_back({.worker = member.worker, .count = member.count});
    }
    return planned;
}

gang_end to_end(wire::StopReason reason) {
    switch (reason) {
        case wire::STOP_REASON_UNSPECIFIED:
            return gang_end::finished;
        case wire::STOP_PREEMPTED:
        case wire::STOP_DEFRAGMENTED:
            return gang_end::preempted;
        case wire::STOP_CANCELLED:
            return gang_end::cancelled;
        case wire::STOP_TASK_FAILED:
            return gang_end::failed;
        default:
            return gang_end::member_lost;
    }
}

}  // namespace

planner_feed::planner_feed(job_state& state, planner& planning, runtime& loop)
    : state_(state), planning_(planning), loop_(loop) {
    state_.listen(*this);
    tell_all();
}

planner_feed::~planner_feed() {
    state_.forget(*this);
}

void planner_feed::job_queued(const job& queued) {
    queued_.insert(queued.id);
    planning_.job_queued(to_planned(queued, loop_));
}

void planner_feed::gang_committed(const job& committed) {
    queued_.erase(committed.id);
    started_.insert(committed.id);
    planning_.gang_started(to_planned(committed, loop_), to_planned(committed.members),
                           runtime_time(loop_, committed.changed));
}

void planner_feed::gang_stopping(const job& /*stopping*/) {
}

void planner_feed::gang_released(const job& ended, const std::vector<job_member>& members,
                                 wire::StopReason reason) {
    started_.erase(ended.id);
    tell_tasks(ended, members, reason);
    planning_.gang_ended(ended.id, to_end(reason), loop_.now());
}

void planner_feed::job_ended(const job& ended) {
    if (queued_.erase(ended.id) != 0) {
        planning_.job_dropped(ended.id);
    }
}

void planner_feed::state_loaded() {
    for (const auto& id : queued_) {
        planning_.job_dropped(id);
    }
    for (const auto& id : started_) {
        planning_.gang_ended(id, gang_end::member_lost, loop_.now());
    }
    queued_.clear();
    started_.clear();
    tell_all();
}

void planner_feed::tell_tasks(const job& ended, const std::vector<job_member>& members,
                              wire::StopReason reason) {
    if (reason == wire::STOP_REASON_UNSPECIFIED) {
        for (const auto& member : members) {
            planning_.task_ended(member.worker, ended.id, false, loop_.now());
        }
        return;
    }
    const bool failed = reason == wire::STOP_TASK_FAILED || reason == wire::STOP_START_FAILED;
    const auto& culprit = ended.stops.back().failed_worker;
    if (failed && !culprit.get().empty()) {
        planning_.task_ended(culprit, ended.id, true, loop_.now());
    }
}

void planner_feed::tell_all() {
    for (const auto& [id, one] : state_.jobs()) {
        if (one.phase == job_phase::queued) {
            job_queued(one);
        } else if (!is_ended(one.phase)) {
            gang_committed(one);
        }
    }
}

}  // namespace baobabrack
