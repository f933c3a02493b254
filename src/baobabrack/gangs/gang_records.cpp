#include "baobabrack/gangs/gang_records.hpp"

namespace baobabrack {

wire::Record joined_record(const wire::WorkerFacts& facts) {
    wire::Record record;
    *record.mutable_worker_joined()->mutable_facts() = facts;
    return record;
}

wire::Record left_record(const worker_id& worker, incarnation version, const std::string& reason) {
    wire::Record record;
    auto& left = *record.mutable_worker_left();
    left.set_worker(worker.get());
    left.set_incarnation(version.get());
    left.set_reason(reason);
    return record;
}

wire::Record submitted_record(const wire::JobSpec& spec) {
    wire::Record record;
    *record.mutable_job_submitted()->mutable_spec() = spec;
    return record;
}

wire::Record committed_record(const job_id& job, attempt_number attempt,
                              const std::vector<job_member>& members) {
    wire::Record record;
    auto& committed = *record.mutable_gang_committed();
    committed.set_job(job.get());
    committed.set_attempt(attempt.get());
    for (const auto& member : members) {
        auto& granted = *committed.add_members();
        granted.set_worker(member.worker.get());
        granted.set_incarnation(member.version.get());
        granted.set_count(member.count);
    }
    return record;
}

wire::Record stopping_record(const job_id& job, attempt_number attempt, wire::StopReason reason) {
    wire::Record record;
    auto& stopping = *record.mutable_gang_stopping();
    stopping.set_job(job.get());
    stopping.set_attempt(attempt.get());
    stopping.set_reason(reason);
    return record;
}

wire::Record released_record(const job& stopped, std::chrono::milliseconds checkpoint,
                             const worker_id& culprit) {
    wire::Record record;
    auto& released = *record.mutable_gang_released();
    released.set_job(stopped.id.get());
    released.set_attempt(stopped.attempt.get());
    released.set_checkpoint_ms(static_cast<std::uint64_t>(checkpoint.count()));
    released.set_failed_worker(culprit.get());
    return record;
}

wire::Record finished_record(const job& finished, wire::JobOutcome outcome,
                             const std::string& message) {
    wire::Record record;
    auto& ended = *record.mutable_job_finished();
    ended.set_job(finished.id.get());
    ended.set_attempt(finished.attempt.get());
    ended.set_outcome(outcome);
    ended.set_message(message);
    return record;
}

wire::Record cancel_record(const job_id& job, const std::string& reason) {
    wire::Record record;
    record.mutable_job_cancel_requested()->set_job(job.get());
    record.mutable_job_cancel_requested()->set_reason(reason);
    return record;
}

}  // namespace baobabrack
