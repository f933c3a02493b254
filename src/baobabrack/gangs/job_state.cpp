#include "baobabrack/gangs/job_state.hpp"

#include <algorithm>
#include <boost/outcome/success_failure.hpp>
#include <utility>

#include "baobabrack/gangs/job_codec.hpp"
#include "baobabrack/gangs/job_listener.hpp"
#include "baobabrack/gangs/job_rules.hpp"

namespace baobabrack {

job_state::job_state(options opts) : options_(opts) {
}

bool job_state::handles(const wire::Record& record) const {
    switch (record.kind_case()) {
        case wire::Record::kWorkerJoined:
        case wire::Record::kWorkerLeft:
        case wire::Record::kJobSubmitted:
        case wire::Record::kGangCommitted:
        case wire::Record::kGangStopping:
        case wire::Record::kGangReleased:
        case wire::Record::kJobFinished:
        case wire::Record::kJobCancelRequested:
            return true;
        default:
            return false;
    }
}

result<void> job_state::apply(const wire::Record& record, const record_position& position) {
    prune(position.written_at);
    switch (record.kind_case()) {
        case wire::Record::kWorkerJoined:
            return apply_joined(record.worker_joined());
        case wire::Record::kWorkerLeft:
            return apply_left(record.worker_left());
        case wire::Record::kJobSubmitted:
            return apply_submitted(record.job_submitted(), position.written_at);
        case wire::Record::kGangCommitted:
            return apply_committed(record.gang_committed(), position);
        case wire::Record::kGangStopping:
            return apply_stopping(record.gang_stopping(), position);
        case wire::Record::kGangReleased:
            return apply_released(record.gang_released(), position.written_at);
        case wire::Record::kJobFinished:
            return apply_finished(record.job_finished(), position.written_at);
        case wire::Record::kJobCancelRequested:
            return apply_cancel(record.job_cancel_requested(), position);
        default:
            return failure{failure_kind::invalid, "the record does not belong to the jobs",
                           "route it by its kind"};
    }
}

std::string job_state::save() const {
    return job_codec::save(*this);
}

result<void> job_state::load(std::string_view data) {
    return job_codec::load(*this, data);
}

void job_state::listen(job_listener& listener) {
    listeners_.push_back(&listener);
}

void job_state::forget(job_listener& listener) {
    listeners_.erase(std::remove(listeners_.begin(), listeners_.end(), &listener),
                     listeners_.end());
}

const wire::WorkerFacts* job_state::find_facts(const worker_id& id) const {
    const auto found = facts_.find(id);
    return found == facts_.end() ? nullptr : &found->second;
}

const job* job_state::find(const job_id& id) const {
    const auto found = jobs_.find(id);
    return found == jobs_.end() ? nullptr : &found->second;
}

const std::set<job_id>& job_state::holders(const worker_id& id) const {
    static const std::set<job_id> none;
    const auto found = holders_.find(id);
    return found == holders_.end() ? none : found->second;
}

result<void> job_state::apply_joined(const wire::WorkerJoined& joined) {
    const auto& facts = joined.facts();
    const worker_id id{facts.worker()};
    if (!fleet_.join(facts)) {
        if (fleet_.find(id)->version == incarnation{facts.incarnation()}) {
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        }
        return failure{failure_kind::conflict,
                       "worker \"" + facts.worker() + "\" has joined in a newer incarnation",
                       "announce the newest incarnation only"};
    }
    facts_[id] = facts;
    // An unreachable worker that comes back still holds what was not released meanwhile.
    for (const auto& holder : holders(id)) {
        const auto& held = jobs_.at(holder);
        for (const auto& member : held.members) {
            if (member.worker == id && member.version == incarnation{facts.incarnation()}) {
                fleet_.allocate(id, held.per_member(), member.count);
            }
        }
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> job_state::apply_left(const wire::WorkerLeft& left) {
    const worker_id id{left.worker()};
    if (!fleet_.leave(id, incarnation{left.incarnation()})) {
        return failure{failure_kind::conflict,
                       "worker \"" + left.worker() + "\" is not there in this incarnation",
                       "nothing is left to be done"};
    }
    facts_.erase(id);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> job_state::apply_submitted(const wire::JobSubmitted& submitted, wall_time at) {
    const auto& spec = submitted.spec();
    if (auto checked = check_spec(spec); !checked) {
        return checked;
    }
    const job_id id{spec.id()};
    if (const auto* known = find(id)) {
        if (known->spec.SerializeAsString() == spec.SerializeAsString()) {
            return BOOST_OUTCOME_V2_NAMESPACE::success();
        }
        return failure{failure_kind::conflict,
                       "job \"" + spec.id() + "\" exists with another specification",
                       "submit it under another id"};
    }
    auto& placed = jobs_[id];
    placed.id = id;
    placed.spec = spec;
    placed.submitted = at;
    enqueue(placed, at);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> job_state::apply_committed(const wire::GangCommitted& committed,
                                        const record_position& position) {
    const auto found = jobs_.find(job_id{committed.job()});
    if (found == jobs_.end()) {
        return unknown_job(committed.job());
    }
    auto& target = found->second;
    if (target.phase != job_phase::queued) {
        return wrong_phase(target, "queued");
    }
    if (committed.attempt() <= target.attempt.get()) {
        return wrong_phase(target, "before attempt " + std::to_string(committed.attempt()));
    }
    if (auto checked = check_members(target, committed, fleet_); !checked) {
        return checked;
    }
    target.phase = job_phase::committed;
    target.attempt = attempt_number{committed.attempt()};
    target.token = position.offset;
    target.changed = position.written_at;
    for (const auto& member : committed.members()) {
        target.members.push_back({.worker = worker_id{member.worker()},
                                  .version = incarnation{member.incarnation()},
                                  .count = member.count()});
    }
    take_members(target);
    notify([&](job_listener& listener) { listener.gang_committed(target); });
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> job_state::apply_stopping(const wire::GangStopping& stopping,
                                       const record_position& position) {
    const auto found = jobs_.find(job_id{stopping.job()});
    if (found == jobs_.end()) {
        return unknown_job(stopping.job());
    }
    auto& target = found->second;
    if (target.attempt.get() != stopping.attempt()) {
        return wrong_phase(target, "at attempt " + std::to_string(stopping.attempt()));
    }
    if (target.phase == job_phase::stopping) {
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    if (target.phase != job_phase::committed) {
        return wrong_phase(target, "committed");
    }
    begin_stop(target, stopping.reason(), position);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> job_state::apply_released(const wire::GangReleased& released, wall_time at) {
    const auto found = jobs_.find(job_id{released.job()});
    if (found == jobs_.end()) {
        return unknown_job(released.job());
    }
    auto& target = found->second;
    if (target.phase != job_phase::stopping || target.attempt.get() != released.attempt()) {
        return wrong_phase(target, "stopping attempt " + std::to_string(released.attempt()));
    }
    const auto reason = target.stopping;
    const worker_id culprit{released.failed_worker()};
    target.checkpoint =
        std::max(target.checkpoint, std::chrono::milliseconds{released.checkpoint_ms()});
    target.stops.back().failed_worker = culprit;
    target.stops.back().lost_worker = has_lost_member(target);
    if (reason == wire::STOP_TASK_FAILED) {
        count_failure(target, culprit);
    }
    const auto members = give_back_members(target);
    notify([&](job_listener& listener) { listener.gang_released(target, members, reason); });
    if (target.cancel_requested) {
        end(target, job_phase::cancelled, target.message, at);
    } else if (is_exhausted(target)) {
        end(target, job_phase::failed,
            "its tasks failed; the last one on worker \"" + culprit.get() + "\"", at);
    } else {
        enqueue(target, at);
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> job_state::apply_finished(const wire::JobFinished& finished, wall_time at) {
    const auto found = jobs_.find(job_id{finished.job()});
    if (found == jobs_.end()) {
        return unknown_job(finished.job());
    }
    auto& target = found->second;
    if (is_ended(target.phase) || target.attempt.get() != finished.attempt()) {
        return wrong_phase(target, "at attempt " + std::to_string(finished.attempt()));
    }
    const bool succeeded = finished.outcome() == wire::JOB_SUCCEEDED;
    // Success needs an attempt that holds its members, any other end a job that holds none.
    if (succeeded == (target.phase == job_phase::queued)) {
        return wrong_phase(target, succeeded ? "committed" : "queued");
    }
    const auto outcome =
        finished.outcome() == wire::JOB_CANCELLED ? job_phase::cancelled : job_phase::failed;
    if (succeeded) {
        const auto members = give_back_members(target);
        target.phase = job_phase::finished;
        notify([&](job_listener& listener) {
            listener.gang_released(target, members, wire::STOP_REASON_UNSPECIFIED);
        });
    }
    end(target, succeeded ? job_phase::finished : outcome, finished.message(), at);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> job_state::apply_cancel(const wire::JobCancelRequested& request,
                                     const record_position& position) {
    const auto found = jobs_.find(job_id{request.job()});
    if (found == jobs_.end()) {
        return unknown_job(request.job());
    }
    auto& target = found->second;
    if (target.cancel_requested) {
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    if (is_ended(target.phase)) {
        return failure{
            failure_kind::conflict,
            "job \"" + request.job() + "\" has ended: " + std::string{to_string(target.phase)},
            "nothing is left to be cancelled"};
    }
    target.cancel_requested = true;
    target.message = request.reason();
    if (target.phase == job_phase::queued) {
        end(target, job_phase::cancelled, target.message, position.written_at);
    } else if (target.phase == job_phase::committed) {
        begin_stop(target, wire::STOP_CANCELLED, position);
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

bool job_state::has_lost_member(const job& holder) const {
    return std::any_of(holder.members.begin(), holder.members.end(), [&](const job_member& member) {
        const auto* there = fleet_.find(member.worker);
        return there == nullptr || there->version != member.version;
    });
}

void job_state::take_members(const job& holder) {
    const auto part = holder.per_member();
    for (const auto& member : holder.members) {
        holders_[member.worker].insert(holder.id);
        const auto* there = fleet_.find(member.worker);
        if (there != nullptr && there->version == member.version) {
            fleet_.allocate(member.worker, part, member.count);
        }
    }
}

std::vector<job_member> job_state::give_back_members(job& holder) {
    const auto part = holder.per_member();
    auto members = std::move(holder.members);
    holder.members.clear();
    for (const auto& member : members) {
        const auto holding = holders_.find(member.worker);
        holding->second.erase(holder.id);
        if (holding->second.empty()) {
            holders_.erase(holding);
        }
        fleet_.release(member.worker, member.version, part, member.count);
    }
    return members;
}

void job_state::begin_stop(job& target, wire::StopReason reason, const record_position& position) {
    // The clocks of two entries may differ.
    const auto lasted =
        std::max(position.written_at - target.changed, std::chrono::milliseconds::zero());
    target.phase = job_phase::stopping;
    target.stopping = reason;
    target.stop_offset = position.offset;
    target.changed = position.written_at;
    if (target.stops.size() == most_stops_kept) {
        target.stops.erase(target.stops.begin());
    }
    target.stops.push_back(
        {.attempt = target.attempt, .reason = reason, .at = position.written_at, .lasted = lasted});
    notify([&](job_listener& listener) { listener.gang_stopping(target); });
}

void job_state::end(job& target, job_phase phase, std::string message, wall_time at) {
    target.phase = phase;
    target.stopping = wire::STOP_REASON_UNSPECIFIED;
    target.message = std::move(message);
    target.changed = at;
    ended_.push_back(target.id);
    notify([&](job_listener& listener) { listener.job_ended(target); });
}

void job_state::enqueue(job& target, wall_time at) {
    target.phase = job_phase::queued;
    target.stopping = wire::STOP_REASON_UNSPECIFIED;
    target.changed = at;
    notify([&](job_listener& listener) { listener.job_queued(target); });
}

void job_state::prune(wall_time at) {
    while (!ended_.empty() && (ended_.size() > options_.most_ended ||
                               jobs_.at(ended_.front()).changed + options_.ended_memory < at)) {
        jobs_.erase(ended_.front());
        ended_.pop_front();
    }
}

void job_state::replace(std::vector<wire::WorkerFacts> facts, std::map<job_id, job> jobs,
                        std::deque<job_id> ended) {
    for (const auto& [id, old] : facts_) {
        fleet_.leave(id, incarnation{old.incarnation()});
    }
    facts_.clear();
    holders_.clear();
    jobs_ = std::move(jobs);
    ended_ = std::move(ended);
    for (auto& one : facts) {
        fleet_.join(one);
        facts_.emplace(worker_id{one.worker()}, std::move(one));
    }
    for (const auto& [id, one] : jobs_) {
        take_members(one);
    }
    notify([](job_listener& listener) { listener.state_loaded(); });
}

void job_state::notify(const std::function<void(job_listener&)>& call) {
    for (auto* listener : listeners_) {
        call(*listener);
    }
}

}  // namespace baobabrack
