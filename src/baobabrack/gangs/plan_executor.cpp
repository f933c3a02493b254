#include "baobabrack/gangs/plan_executor.hpp"

#include <algorithm>
#include <utility>

#include "baobabrack/gangs/gang_proposals.hpp"
#include "baobabrack/gangs/job_rules.hpp"
#include "baobabrack/gangs/job_state.hpp"
#include "baobabrack/gangs/responsibility.hpp"
#include "baobabrack/gangs/task_calls.hpp"
#include "baobabrack/metrics/registry.hpp"
#include "baobabrack/runtime/runtime.hpp"

namespace baobabrack {

namespace {

std::string_view to_string(gang_start::end how) {
    switch (how) {
        case gang_start::end::committed:
            return "committed";
        case gang_start::end::refused:
            return "worker_refused";
        case gang_start::end::void_commit:
            return "void_commit";
        case gang_start::end::in_doubt:
            return "commit_in_doubt";
    }
    return "unknown";
}

}  // namespace

plan_executor::plan_executor(gang_context& context, gang_proposals& proposals, heard on_reply)
    : context_(context),
      proposals_(proposals),
      on_reply_(std::move(on_reply)),
      plan_timer_(context.loop),
      alive_(std::make_shared<int>()) {
}

void plan_executor::abandon(const job_id& id) {
    if (const auto start = starts_.find(id); start != starts_.end()) {
        start->second->abandon();
        starts_.erase(start);
    }
}

void plan_executor::committed(const job& gang) {
    foreign_.erase(gang.id);
    auto& tried = tried_[gang.id];
    tried = std::max(tried, gang.attempt);
}

void plan_executor::released(const job_id& id) {
    preempting_.erase(id);
}

void plan_executor::ended(const job_id& id) {
    abandon(id);
    tried_.erase(id);
    foreign_.erase(id);
    preempting_.erase(id);
}

void plan_executor::reset() {
    starts_.clear();
    preempting_.clear();
    foreign_.clear();
}

void plan_executor::plan_soon() {
    if (!plan_timer_.armed()) {
        plan_timer_.arm(duration::zero(), [this] { plan_now(); });
    }
}

void plan_executor::plan_now() {
    drop_foreign_plans();
    if (!context_.may_grant()) {
        return;
    }
    carry_out(context_.planning.decide(context_.loop.now()));
}

void plan_executor::carry_out(const plan& decided) {
    for (const auto& stop : decided.stops) {
        if (context_.duty.is_mine(stop.job)) {
            preempt(stop);
        }
    }
    for (const auto& start : decided.starts) {
        if (context_.duty.is_mine(start.job)) {
            start_gang(start);
        } else {
            foreign_.emplace(start.job, context_.loop.now());
        }
    }
    for (const auto& refusal : decided.refusals) {
        if (context_.duty.is_mine(refusal.job)) {
            refuse(refusal);
        }
    }
}

void plan_executor::start_gang(const planned_start& start) {
    const auto* target = context_.state.find(start.job);
    if (target == nullptr || target->phase != job_phase::queued || starts_.count(start.job) != 0) {
        return;
    }
    if (loses_workers(*target)) {
        context_.planning.start_failed(start.job, worker_id{}, context_.loop.now());
        proposals_.refuse(*target,
                          "its latest attempts each lost a worker soon after their start "
                          "(make sure that its tasks do not crash workers)");
        return;
    }
    std::vector<job_member> members;
    for (const auto& member : start.members) {
        const auto* there = context_.state.workers().find(member.worker);
        if (there == nullptr) {
            on_start_ended(start.job, gang_start::end::refused, member.worker);
            return;
        }
        members.push_back(
            {.worker = member.worker, .version = there->version, .count = member.count});
    }
    auto& tried = tried_[start.job];
    tried = attempt_number{std::max(tried, target->attempt).get() + 1};
    auto begun = std::make_shared<gang_start>(
        context_, *target, tried, std::move(members),
        [this, id = start.job](gang_start::end how, const worker_id& culprit) {
            on_start_ended(id, how, culprit);
        });
    starts_[start.job] = begun;
    begun->begin();
}

void plan_executor::on_start_ended(const job_id& id, gang_start::end how,
                                   const worker_id& culprit) {
    starts_.erase(id);
    context_.metrics
        .get_counter("baobabrack_gang_starts_total", "Tries to start a gang, by result",
                     {{.name = "result", .value = std::string{to_string(how)}}})
        .add();
    const auto* target = context_.state.find(id);
    if (how == gang_start::end::committed || target == nullptr ||
        target->phase != job_phase::queued) {
        return;
    }
    context_.planning.start_failed(id, culprit, context_.loop.now());
    // The next tick plans again, so that a start that always fails does not spin.
}

void plan_executor::preempt(const planned_stop& stop) {
    const auto* target = context_.state.find(stop.job);
    if (target == nullptr || target->phase != job_phase::committed ||
        !preempting_.insert(stop.job).second) {
        return;
    }
    const auto reason =
        stop.beneficiary.get().empty() ? wire::STOP_DEFRAGMENTED : wire::STOP_PREEMPTED;
    checkpoint_then(*target, [this, id = target->id, attempt = target->attempt, reason] {
        proposals_.stop(id, attempt, reason);
    });
}

void plan_executor::checkpoint_then(const job& gang, const std::function<void()>& next) {
    if (!gang.spec.checkpointable()) {
        next();
        return;
    }
    auto waiting = std::make_shared<std::size_t>(gang.members.size());
    for (const auto& member : gang.members) {
        context_.workers.call(member.worker, checkpoint_call(gang, member),
                              [this, alive = std::weak_ptr<int>{alive_}, waiting, next,
                               worker = member.worker](const result<wire::WorkerReply>& reply) {
                                  if (alive.expired()) {
                                      return;
                                  }
                                  if (reply) {
                                      on_reply_(worker, reply.value());
                                  }
                                  if (--*waiting == 0) {
                                      next();
                                  }
                              });
    }
}

void plan_executor::refuse(const planned_refusal& refusal) {
    const auto* target = context_.state.find(refusal.job);
    if (target == nullptr || target->phase != job_phase::queued) {
        return;
    }
    proposals_.refuse(*target, refusal.reason + " (" + refusal.remedy + ")");
}

void plan_executor::drop_foreign_plans() {
    for (auto next = foreign_.begin(); next != foreign_.end();) {
        if (context_.loop.now() - next->second < context_.options.foreign_plan_limit) {
            ++next;
            continue;
        }
        const auto id = next->first;
        next = foreign_.erase(next);
        const auto* target = context_.state.find(id);
        if (target != nullptr && target->phase == job_phase::queued) {
            context_.planning.start_failed(id, worker_id{}, context_.loop.now());
        }
    }
}

}  // namespace baobabrack
