#include "baobabrack/gangs/gang_proposals.hpp"

#include <utility>

#include "baobabrack/gangs/gang_records.hpp"
#include "baobabrack/gangs/job_state.hpp"

namespace baobabrack {

namespace {

std::string attempt_key(std::string_view what, const job_id& id, attempt_number attempt) {
    return std::string{what} + '/' + id.get() + '/' + std::to_string(attempt.get());
}

std::string worker_key(std::string_view what, const std::string& id, std::uint64_t version) {
    return std::string{what} + '/' + id + '/' + std::to_string(version);
}

}  // namespace

gang_proposals::gang_proposals(gang_context& context)
    : context_(context),
      records_(context.records, context.loop,
               {.patience = context.options.commit_patience,
                .retry_interval = context.options.retry_interval}) {
}

void gang_proposals::stop(const job_id& id, attempt_number attempt, wire::StopReason reason) {
    records_.put(attempt_key("stop", id, attempt), stopping_record(id, attempt, reason),
                 [this, id, attempt] {
                     const auto* known = find_attempt(id, attempt);
                     return known != nullptr && known->phase == job_phase::committed;
                 });
}

void gang_proposals::release(const job& target, std::chrono::milliseconds saved,
                             const worker_id& culprit) {
    records_.put(attempt_key("release", target.id, target.attempt),
                 released_record(target, saved, culprit),
                 [this, id = target.id, attempt = target.attempt] {
                     const auto* known = find_attempt(id, attempt);
                     return known != nullptr && known->phase == job_phase::stopping;
                 });
}

void gang_proposals::finish(const job& gang) {
    records_.put(attempt_key("finish", gang.id, gang.attempt),
                 finished_record(gang, wire::JOB_SUCCEEDED, ""),
                 [this, id = gang.id, attempt = gang.attempt] {
                     const auto* known = find_attempt(id, attempt);
                     return known != nullptr && (known->phase == job_phase::committed ||
                                                 known->phase == job_phase::stopping);
                 });
}

void gang_proposals::refuse(const job& queued, const std::string& message) {
    records_.put("refuse/" + queued.id.get(), finished_record(queued, wire::JOB_FAILED, message),
                 [this, id = queued.id, attempt = queued.attempt] {
                     const auto* known = find_attempt(id, attempt);
                     return known != nullptr && known->phase == job_phase::queued;
                 });
}

void gang_proposals::cancel(const job_id& id, const wire::Record& record) {
    records_.put("cancel/" + id.get(), record, [this, id] {
        const auto* known = context_.state.find(id);
        return known == nullptr || (!is_ended(known->phase) && !known->cancel_requested);
    });
}

void gang_proposals::join(const wire::WorkerFacts& facts, std::function<bool()> needed) {
    records_.put(worker_key("joined", facts.worker(), facts.incarnation()), joined_record(facts),
                 std::move(needed));
}

bool gang_proposals::leave(const worker_id& id, incarnation version, const std::string& reason,
                           std::function<bool()> needed) {
    const auto key = worker_key("left", id.get(), version.get());
    if (records_.pending(key)) {
        return false;
    }
    records_.put(key, left_record(id, version, reason), std::move(needed));
    return true;
}

const job* gang_proposals::find_attempt(const job_id& id, attempt_number attempt) const {
    const auto* known = context_.state.find(id);
    return known != nullptr && known->attempt == attempt ? known : nullptr;
}

}  // namespace baobabrack
