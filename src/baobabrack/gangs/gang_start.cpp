#include "baobabrack/gangs/gang_start.hpp"

#include <utility>

#include "baobabrack/gangs/gang_records.hpp"
#include "baobabrack/gangs/task_calls.hpp"
#include "baobabrack/ledger/proposer.hpp"
#include "baobabrack/runtime/runtime.hpp"

namespace baobabrack {

gang_start::gang_start(gang_context& context, const job& target, attempt_number attempt,
                       std::vector<job_member> members, ended done)
    : context_(context),
      target_(target),
      attempt_(attempt),
      members_(std::move(members)),
      done_(std::move(done)),
      waiting_(members_.size()),
      begun_(context.loop.now()),
      doubt_(context.loop) {
}

void gang_start::begin() {
    for (const auto& member : members_) {
        context_.workers.call(
            member.worker, prepare_call(target_, attempt_, member, context_.options.prepare_lease),
            [self = weak_from_this(), member](const result<wire::WorkerReply>& reply) {
                if (const auto alive = self.lock()) {
                    alive->on_prepared(member, reply);
                }
            });
    }
}

void gang_start::abandon() {
    if (!over_) {
        over_ = true;
        release_members();
    }
}

void gang_start::on_prepared(const job_member& member, const result<wire::WorkerReply>& reply) {
    if (over_) {
        return;
    }
    if (!reply || reply.value().status() != wire::WORKER_OK) {
        release_members();
        finish(end::refused, member.worker);
        return;
    }
    if (--waiting_ == 0) {
        commit();
    }
}

void gang_start::commit() {
    const auto lease_left = begun_ + context_.options.prepare_lease - context_.loop.now();
    if (lease_left <= context_.options.commit_patience / 2) {
        release_members();
        finish(end::refused, worker_id{});
        return;
    }
    context_.records.propose(committed_record(target_.id, attempt_, members_),
                             context_.options.commit_patience,
                             [self = weak_from_this()](const result<record_position>& applied) {
                                 if (const auto alive = self.lock()) {
                                     alive->on_committed(applied);
                                 }
                             });
}

void gang_start::on_committed(const result<record_position>& applied) {
    if (over_) {
        return;
    }
    if (applied) {
        finish(end::committed, worker_id{});
        return;
    }
    if (applied.error().kind != failure_kind::timed_out) {
        release_members();
        finish(end::void_commit, worker_id{});
        return;
    }
    // The commit may still appear while the members are held, so they are left to lapse.
    const auto lapse = begun_ + context_.options.prepare_lease - context_.loop.now();
    doubt_.arm(lapse, [this] { finish(end::in_doubt, worker_id{}); });
}

void gang_start::release_members() {
    for (const auto& member : members_) {
        context_.workers.call(member.worker,
                              stop_call(target_.id, attempt_, log_offset{}, member.version),
                              [](const result<wire::WorkerReply>&) {});
    }
}

void gang_start::finish(end how, const worker_id& culprit) {
    over_ = true;
    // The callback may destroy this object.
    const auto done = std::move(done_);
    done(how, culprit);
}

}  // namespace baobabrack
