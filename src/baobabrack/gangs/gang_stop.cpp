#include "baobabrack/gangs/gang_stop.hpp"

#include <algorithm>
#include <utility>

#include "baobabrack/gangs/job_state.hpp"
#include "baobabrack/gangs/responsibility.hpp"
#include "baobabrack/gangs/task_calls.hpp"
#include "baobabrack/runtime/runtime.hpp"

namespace baobabrack {

gang_stop::gang_stop(gang_context& context, const job& target, callbacks calls)
    : context_(context),
      id_(target.id),
      attempt_(target.attempt),
      token_(target.token),
      members_(target.members),
      calls_(std::move(calls)),
      retry_(context.loop) {
}

void gang_stop::begin() {
    if (over_) {
        return;
    }
    send_stops();
    retry_.arm(context_.options.retry_interval, [this] { begin(); });
    look();
}

void gang_stop::look() {
    look_for_proof();
    check_end();
}

std::vector<worker_id> gang_stop::unproven() const {
    std::vector<worker_id> waiting;
    for (const auto& member : members_) {
        const auto known = states_.find(member.worker);
        if (known == states_.end() || !known->second.proven) {
            waiting.push_back(member.worker);
        }
    }
    return waiting;
}

void gang_stop::send_stops() {
    for (const auto& member : members_) {
        const auto& known = states_[member.worker];
        if (!known.proven && !known.calling) {
            send(member);
        }
    }
}

void gang_stop::send(const job_member& member) {
    states_[member.worker].calling = true;
    context_.workers.call(
        member.worker, stop_call(id_, attempt_, token_, member.version),
        [self = weak_from_this(), member](const result<wire::WorkerReply>& reply) {
            if (const auto alive = self.lock()) {
                alive->on_reply(member, reply);
            }
        });
}

void gang_stop::on_reply(const job_member& member, const result<wire::WorkerReply>& reply) {
    states_[member.worker].calling = false;
    if (over_ || !reply) {
        return;
    }
    calls_.on_reply(member.worker, reply.value());
    switch (reply.value().status()) {
        case wire::WORKER_OK:
        case wire::WORKER_UNKNOWN_TASK:
        case wire::WORKER_STALE_TOKEN:
            prove(member.worker);
            break;
        case wire::WORKER_WRONG_INCARNATION:
            if (reply.value().worker_incarnation() > member.version.get()) {
                prove(member.worker);
            }
            break;
        default:
            break;
    }
    check_end();
}

void gang_stop::look_for_proof() {
    const auto* now = recorded();
    if (now == nullptr) {
        return;
    }
    if (!recorded_since_) {
        recorded_since_ = context_.loop.now();
    }
    if (!unrenewed_since_ && context_.duty.all_past(now->stop_offset)) {
        unrenewed_since_ = context_.loop.now();
    }
    for (const auto& member : members_) {
        if (is_replaced(member) || has_lapsed(member)) {
            prove(member.worker);
        }
    }
}

void gang_stop::prove(const worker_id& worker) {
    auto& known = states_[worker];
    if (!known.proven) {
        known.proven = true;
        ++proven_;
    }
}

bool gang_stop::has_lapsed(const job_member& member) const {
    const auto& options = context_.options;
    const auto time = context_.loop.now();
    if (unrenewed_since_ && time >= *unrenewed_since_ + options.lapse_wait()) {
        return true;
    }
    if (calls_.gone(member.worker) && time >= *recorded_since_ + options.lapse_wait()) {
        return true;
    }
    // An entry that cannot be reached has stopped renewing by itself.
    return time >= *recorded_since_ + options.renewal_limit + options.lapse_wait();
}

bool gang_stop::is_replaced(const job_member& member) const {
    const auto* there = context_.state.workers().find(member.worker);
    return there != nullptr && there->version > member.version;
}

const job* gang_stop::recorded() const {
    const auto* now = context_.state.find(id_);
    const bool is_recorded =
        now != nullptr && now->phase == job_phase::stopping && now->attempt == attempt_;
    return is_recorded ? now : nullptr;
}

void gang_stop::check_end() {
    if (over_ || proven_ < members_.size() || recorded() == nullptr) {
        return;
    }
    over_ = true;
    retry_.cancel();
    // The callback may destroy this object.
    const auto done = calls_.on_stopped;
    done();
}

}  // namespace baobabrack
