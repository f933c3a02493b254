#include "baobabrack/gangs/task_calls.hpp"

namespace baobabrack {

namespace {

resources member_resources(const job& target, const job_member& member) {
    resources sum;
    sum.add(target.per_member(), member.count);
    return sum;
}

}  // namespace

wire::TaskKey task_key(const job_id& job, attempt_number attempt) {
    wire::TaskKey key;
    key.set_job(job.get());
    key.set_attempt(attempt.get());
    return key;
}

std::uint32_t to_lease_ms(duration lease) {
    return static_cast<std::uint32_t>(
        std::chrono::duration_cast<std::chrono::milliseconds>(lease).count());
}

wire::WorkerCall prepare_call(const job& target, attempt_number attempt, const job_member& member,
                              duration lease) {
    wire::WorkerCall call;
    call.set_worker_incarnation(member.version.get());
    auto& prepare = *call.mutable_prepare();
    *prepare.mutable_task() = task_key(target.id, attempt);
    *prepare.mutable_resources() = to_wire(member_resources(target, member));
    prepare.set_worker_incarnation(member.version.get());
    prepare.set_lease_ms(to_lease_ms(lease));
    return call;
}

wire::WorkerCall start_call(const job& committed, const job_member& member, duration lease) {
    wire::WorkerCall call;
    call.set_worker_incarnation(member.version.get());
    auto& start = *call.mutable_start();
    *start.mutable_task() = task_key(committed.id, committed.attempt);
    start.set_token(committed.token.get());
    start.set_lease_ms(to_lease_ms(lease));
    start.set_resume_from_ms(static_cast<std::uint64_t>(committed.checkpoint.count()));
    start.set_command(committed.spec.command());
    *start.mutable_resources() = to_wire(member_resources(committed, member));
    return call;
}

wire::WorkerCall checkpoint_call(const job& committed, const job_member& member) {
    wire::WorkerCall call;
    call.set_worker_incarnation(member.version.get());
    auto& checkpoint = *call.mutable_checkpoint();
    *checkpoint.mutable_task() = task_key(committed.id, committed.attempt);
    checkpoint.set_token(committed.token.get());
    return call;
}

wire::WorkerCall stop_call(const job_id& job, attempt_number attempt, log_offset token,
                           incarnation version) {
    wire::WorkerCall call;
    call.set_worker_incarnation(version.get());
    auto& stop = *call.mutable_stop();
    *stop.mutable_task() = task_key(job, attempt);
    stop.set_token(token.get());
    return call;
}

wire::WorkerCall throttle_call(const job& committed, const job_member& member,
                               std::uint32_t percent) {
    wire::WorkerCall call;
    call.set_worker_incarnation(member.version.get());
    auto& throttle = *call.mutable_throttle();
    *throttle.mutable_task() = task_key(committed.id, committed.attempt);
    throttle.set_token(committed.token.get());
    throttle.set_percent(percent);
    return call;
}

}  // namespace baobabrack
