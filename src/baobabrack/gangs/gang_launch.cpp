#include "baobabrack/gangs/gang_launch.hpp"

#include <utility>

#include "baobabrack/gangs/task_calls.hpp"
#include "baobabrack/runtime/runtime.hpp"

namespace baobabrack {

gang_launch::gang_launch(gang_context& context, const job& committed, started one, ended done)
    : context_(context),
      target_(committed),
      one_(std::move(one)),
      done_(std::move(done)),
      waiting_(committed.members.size()),
      begun_(context.loop.now()) {
}

void gang_launch::begin() {
    for (const auto& member : target_.members) {
        send(member);
    }
}

void gang_launch::send(const job_member& member) {
    context_.workers.call(
        member.worker, start_call(target_, member, context_.options.task_lease),
        [self = weak_from_this(), member](const result<wire::WorkerReply>& reply) {
            if (const auto alive = self.lock()) {
                alive->on_reply(member, reply);
            }
        });
}

void gang_launch::on_reply(const job_member& member, const result<wire::WorkerReply>& reply) {
    if (over_) {
        return;
    }
    if (reply && reply.value().status() == wire::WORKER_OK) {
        one_(member.worker);
        if (--waiting_ == 0) {
            finish(worker_id{});
        }
        return;
    }
    const bool may_repeat = !reply && context_.loop.now() + context_.options.retry_interval <
                                          begun_ + context_.options.start_patience;
    if (!may_repeat) {
        finish(member.worker);
        return;
    }
    context_.loop.schedule(context_.options.retry_interval, [self = weak_from_this(), member] {
        const auto alive = self.lock();
        if (alive && !alive->over_) {
            alive->send(member);
        }
    });
}

void gang_launch::finish(const worker_id& culprit) {
    over_ = true;
    // The callback may destroy this object.
    const auto done = std::move(done_);
    done(culprit);
}

}  // namespace baobabrack
