#include "baobabrack/gangs/worker_monitor.hpp"

#include <algorithm>
#include <utility>

#include "baobabrack/gangs/gang_actions.hpp"
#include "baobabrack/gangs/gang_proposals.hpp"
#include "baobabrack/gangs/job_state.hpp"
#include "baobabrack/gangs/member_reports.hpp"
#include "baobabrack/gangs/responsibility.hpp"
#include "baobabrack/gangs/task_calls.hpp"
#include "baobabrack/metrics/registry.hpp"
#include "baobabrack/runtime/runtime.hpp"

namespace baobabrack {

namespace {

const job_member* find_member(const job& gang, const worker_id& id) {
    const auto found = std::find_if(gang.members.begin(), gang.members.end(),
                                    [&](const job_member& one) { return one.worker == id; });
    return found == gang.members.end() ? nullptr : &*found;
}

}  // namespace

worker_monitor::worker_monitor(gang_context& context, member_reports& reports,
                               gang_proposals& proposals, gang_actions& actions)
    : context_(context),
      reports_(reports),
      proposals_(proposals),
      actions_(actions),
      syncs_(context.metrics.get_counter("baobabrack_worker_syncs_total",
                                         "Exchanges with workers that were sent")),
      renewals_(context.metrics.get_counter("baobabrack_lease_renewals_total",
                                            "Task leases that were renewed")),
      lost_tasks_(context.metrics.get_counter("baobabrack_tasks_lost_total",
                                              "Committed tasks that their worker did not hold")),
      stray_tasks_(context.metrics.get_counter("baobabrack_tasks_stray_total",
                                               "Tasks stopped because no live attempt owns them")),
      silent_workers_(context.metrics.get_counter("baobabrack_workers_silent_total",
                                                  "Workers taken out because they were silent")),
      alive_(std::make_shared<int>()) {
    context_.state.listen(*this);
    for (const auto& [id, one] : context_.state.workers().workers()) {
        worker_joined(one);
    }
}

worker_monitor::~worker_monitor() {
    context_.state.forget(static_cast<fleet_listener&>(*this));
}

void worker_monitor::worker_joined(const worker& joined) {
    auto fresh = std::make_unique<watch>(context_.loop);
    fresh->version = joined.version;
    fresh->last_reply = context_.loop.now();
    const auto interval = context_.options.sync_interval;
    const auto phase =
        duration{context_.loop.random() % static_cast<std::uint64_t>(interval.count())};
    arm(joined.id, *fresh, phase);
    watches_[joined.id] = std::move(fresh);
}

void worker_monitor::worker_left(const worker& left) {
    watches_.erase(left.id);
    // The state still applies the record, so that nothing may be proposed before the next turn.
    context_.loop.schedule(duration::zero(), [this, alive = std::weak_ptr<int>{alive_}, left] {
        if (!alive.expired() && context_.may_act()) {
            lose_members(left.id, left.version);
        }
    });
}

void worker_monitor::worker_changed(const worker& /*changed*/, const resources& /*free_before*/) {
}

void worker_monitor::arm(const worker_id& id, watch& watched, duration delay) {
    watched.timer.arm(delay, [this, id] { sync(id); });
}

void worker_monitor::sync(const worker_id& id) {
    const auto found = watches_.find(id);
    if (found == watches_.end()) {
        return;
    }
    auto& watched = *found->second;
    arm(id, watched, context_.options.sync_interval);
    const bool was_mine =
        std::exchange(watched.mine, context_.may_act() && context_.duty.is_mine(id));
    if (!watched.mine) {
        return;
    }
    if (!was_mine) {
        watched.last_reply = context_.loop.now();
    }
    if (context_.loop.now() - watched.last_reply > context_.options.silence_limit) {
        silent(id, watched);
    }
    if (!watched.calling) {
        send_sync(id, watched);
    }
}

void worker_monitor::send_sync(const worker_id& id, watch& watched) {
    wire::WorkerCall call;
    call.set_worker_incarnation(watched.version.get());
    auto& sync = *call.mutable_sync();
    sync.set_acknowledged(acknowledged(watched));
    add_renewals(id, watched, sync);
    syncs_.add();
    renewals_.add(static_cast<std::uint64_t>(sync.renewals_size()));
    watched.calling = true;
    context_.workers.call(id, call,
                          [this, alive = std::weak_ptr<int>{alive_}, id,
                           version = watched.version](const result<wire::WorkerReply>& reply) {
                              if (!alive.expired()) {
                                  on_sync(id, version, reply);
                              }
                          });
}

void worker_monitor::add_renewals(const worker_id& id, const watch& watched,
                                  wire::SyncWorker& sync) const {
    for (const auto& holder : context_.state.holders(id)) {
        const auto& gang = *context_.state.find(holder);
        const auto* member = find_member(gang, id);
        if (gang.phase != job_phase::committed || member->version != watched.version ||
            actions_.is_stopping(gang.id, gang.attempt)) {
            continue;
        }
        const auto* known = reports_.find(id, gang.id, gang.attempt);
        if (known == nullptr || known->phase != wire::TASK_RUNNING) {
            continue;
        }
        auto& renewal = *sync.add_renewals();
        *renewal.mutable_task() = task_key(gang.id, gang.attempt);
        renewal.set_token(gang.token.get());
        renewal.set_lease_ms(to_lease_ms(context_.options.task_lease));
    }
}

std::uint64_t worker_monitor::acknowledged(watch& watched) const {
    auto& open = watched.unresolved;
    for (auto next = open.begin(); next != open.end();) {
        next = is_settled(next->second) ? open.erase(next) : std::next(next);
    }
    return open.empty() ? watched.heard : open.begin()->first - 1;
}

bool worker_monitor::is_settled(const wire::TaskKey& key) const {
    const auto* known = context_.state.find(job_id{key.job()});
    return known == nullptr || is_ended(known->phase) || known->attempt.get() > key.attempt() ||
           (known->attempt.get() == key.attempt() && known->phase == job_phase::queued);
}

void worker_monitor::on_sync(const worker_id& id, incarnation version,
                             const result<wire::WorkerReply>& reply) {
    const auto found = watches_.find(id);
    if (found == watches_.end() || found->second->version != version) {
        return;
    }
    auto& watched = *found->second;
    watched.calling = false;
    if (!reply) {
        return;
    }
    if (reply.value().status() == wire::WORKER_WRONG_INCARNATION) {
        lose_members(id, version);
        return;
    }
    watched.last_reply = context_.loop.now();
    for (const auto& report : reply.value().reports()) {
        watched.heard = std::max(watched.heard, report.sequence());
        if (is_terminal(report.phase()) && !is_settled(report.task())) {
            watched.unresolved[report.sequence()] = report.task();
        }
    }
    hear(id, reply.value());
    look_at_held(id, watched, reply.value());
}

void worker_monitor::hear(const worker_id& worker, const wire::WorkerReply& reply) {
    for (const auto& report : reply.reports()) {
        hear_report(worker, report);
    }
}

void worker_monitor::hear_report(const worker_id& id, const wire::TaskReport& report) {
    const auto* gang = context_.state.find(job_id{report.task().job()});
    if (gang == nullptr || is_ended(gang->phase) || gang->members.empty() ||
        gang->attempt.get() != report.task().attempt()) {
        return;
    }
    if (reports_.hear(id, report)) {
        act_on(id, *gang);
    }
}

void worker_monitor::act_on(const worker_id& id, const job& gang) {
    const auto phase = reports_.find(id, gang.id, gang.attempt)->phase;
    if (phase == wire::TASK_FINISHED) {
        if (reports_.all_finished(gang)) {
            actions_.gang_finished(gang);
        } else {
            poll_later(gang);
        }
        return;
    }
    if (gang.phase != job_phase::committed) {
        return;
    }
    if (phase == wire::TASK_FAILED) {
        actions_.stop_gang(gang, wire::STOP_TASK_FAILED);
    } else if (is_terminal(phase)) {
        actions_.stop_gang(gang, wire::STOP_MEMBER_LOST);
    }
}

void worker_monitor::poll_later(const job& gang) {
    if (!polled_.insert(gang.id).second) {
        return;
    }
    context_.loop.schedule(
        context_.options.sync_interval,
        [this, alive = std::weak_ptr<int>{alive_}, id = gang.id, attempt = gang.attempt] {
            if (!alive.expired()) {
                polled_.erase(id);
                poll(id, attempt);
            }
        });
}

void worker_monitor::poll(const job_id& id, attempt_number attempt) {
    const auto* gang = context_.state.find(id);
    if (gang == nullptr || gang->attempt != attempt || gang->phase != job_phase::committed) {
        return;
    }
    for (const auto& member : gang->members) {
        const auto* known = reports_.find(member.worker, id, attempt);
        const auto watched = watches_.find(member.worker);
        const bool synced = watched != watches_.end() && watched->second->mine;
        if (synced || (known != nullptr && is_terminal(known->phase))) {
            continue;
        }
        wire::WorkerCall call;
        call.set_worker_incarnation(member.version.get());
        call.mutable_sync();
        context_.workers.call(member.worker, call,
                              [this, alive = std::weak_ptr<int>{alive_},
                               worker = member.worker](const result<wire::WorkerReply>& reply) {
                                  if (!alive.expired() && reply) {
                                      hear(worker, reply.value());
                                  }
                              });
    }
    poll_later(*gang);
}

void worker_monitor::look_at_held(const worker_id& id, const watch& watched,
                                  const wire::WorkerReply& reply) {
    std::set<std::string> held;
    for (const auto& key : reply.held()) {
        held.insert(key.job() + '\n' + std::to_string(key.attempt()));
    }
    const auto holders = context_.state.holders(id);
    for (const auto& holder : holders) {
        const auto* gang = context_.state.find(holder);
        if (gang == nullptr || gang->phase != job_phase::committed ||
            find_member(*gang, id)->version != watched.version) {
            continue;
        }
        const auto key = gang->id.get() + '\n' + std::to_string(gang->attempt.get());
        check_member(id, *gang, held.count(key) != 0);
    }
    stop_strays(id, watched, reply);
}

void worker_monitor::check_member(const worker_id& id, const job& gang, bool is_held) {
    const auto* known = reports_.find(id, gang.id, gang.attempt);
    const auto phase = known == nullptr ? wire::TASK_PHASE_UNSPECIFIED : known->phase;
    if (is_terminal(phase) || actions_.is_stopping(gang.id, gang.attempt)) {
        return;
    }
    if (is_held && phase != wire::TASK_RUNNING) {
        // Another entry may have gone between the commit and this start, which is idempotent.
        context_.workers.call(
            id, start_call(gang, *find_member(gang, id), context_.options.task_lease),
            [this, alive = std::weak_ptr<int>{alive_}, id, job = gang.id,
             attempt = gang.attempt](const result<wire::WorkerReply>& reply) {
                if (!alive.expired() && reply && reply.value().status() == wire::WORKER_OK) {
                    reports_.started(id, job, attempt);
                }
            });
        return;
    }
    if (!is_held && actions_.committed_for(gang) > context_.options.start_patience) {
        lost_tasks_.add();
        actions_.stop_gang(gang, wire::STOP_MEMBER_LOST);
    }
}

void worker_monitor::stop_strays(const worker_id& id, const watch& watched,
                                 const wire::WorkerReply& reply) {
    for (const auto& key : reply.held()) {
        const auto* known = context_.state.find(job_id{key.job()});
        // A job or attempt that is not known here may be ahead of this replica.
        if (known == nullptr || !is_settled(key)) {
            continue;
        }
        stray_tasks_.add();
        context_.workers.call(
            id, stop_call(known->id, attempt_number{key.attempt()}, known->token, watched.version),
            [](const result<wire::WorkerReply>&) {});
    }
}

void worker_monitor::silent(const worker_id& id, const watch& watched) {
    const auto version = watched.version;
    const bool begun = proposals_.leave(id, version, "silent", [this, id, version] {
        const auto found = watches_.find(id);
        return found != watches_.end() && found->second->version == version &&
               context_.loop.now() - found->second->last_reply > context_.options.silence_limit;
    });
    if (begun) {
        silent_workers_.add();
        lose_members(id, version);
    }
}

void worker_monitor::lose_members(const worker_id& id, incarnation version) {
    const auto holders = context_.state.holders(id);
    for (const auto& holder : holders) {
        const auto* gang = context_.state.find(holder);
        if (gang == nullptr || gang->phase != job_phase::committed) {
            continue;
        }
        const auto* member = find_member(*gang, id);
        const auto* known = reports_.find(id, gang->id, gang->attempt);
        const bool finished = known != nullptr && known->phase == wire::TASK_FINISHED;
        const bool mine = context_.duty.is_mine(gang->id) || context_.duty.is_mine(id);
        if (member->version == version && !finished && mine) {
            actions_.stop_gang(*gang, wire::STOP_MEMBER_LOST);
        }
    }
}

}  // namespace baobabrack
