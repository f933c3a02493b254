#include "baobabrack/gangs/job_codec.hpp"

#include <boost/outcome/success_failure.hpp>
#include <utility>

#include "baobabrack/gangs/job_state.hpp"
#include "baobabrack/job_state.pb.h"

namespace baobabrack {

namespace {

wall_time from_ms(std::int64_t value) {
    return wall_time{std::chrono::milliseconds{value}};
}

std::int64_t to_ms(wall_time time) {
    return time.time_since_epoch().count();
}

wire::JobPhase wire_phase(job_phase phase) {
    switch (phase) {
        case job_phase::queued:
            return wire::JOB_QUEUED;
        case job_phase::committed:
            return wire::JOB_COMMITTED;
        case job_phase::stopping:
            return wire::JOB_STOPPING;
        default:
            return wire::JOB_ENDED;
    }
}

wire::JobOutcome wire_outcome(job_phase phase) {
    switch (phase) {
        case job_phase::finished:
            return wire::JOB_SUCCEEDED;
        case job_phase::failed:
            return wire::JOB_FAILED;
        case job_phase::cancelled:
            return wire::JOB_CANCELLED;
        default:
            return wire::JOB_OUTCOME_UNSPECIFIED;
    }
}

job_phase read_phase(const wire::JobEntry& entry) {
    switch (entry.phase()) {
        case wire::JOB_COMMITTED:
            return job_phase::committed;
        case wire::JOB_STOPPING:
            return job_phase::stopping;
        case wire::JOB_ENDED:
            break;
        default:
            return job_phase::queued;
    }
    switch (entry.outcome()) {
        case wire::JOB_SUCCEEDED:
            return job_phase::finished;
        case wire::JOB_CANCELLED:
            return job_phase::cancelled;
        default:
            return job_phase::failed;
    }
}

void write_members(const job& from, wire::JobEntry& entry) {
    for (const auto& member : from.members) {
        auto& written = *entry.add_members();
        written.set_worker(member.worker.get());
        written.set_incarnation(member.version.get());
        written.set_count(member.count);
    }
}

void write_stops(const job& from, wire::JobEntry& entry) {
    for (const auto& stop : from.stops) {
        auto& written = *entry.add_stops();
        written.set_attempt(stop.attempt.get());
        written.set_reason(stop.reason);
        written.set_at_ms(to_ms(stop.at));
        written.set_failed_worker(stop.failed_worker.get());
        written.set_lasted_ms(stop.lasted.count());
        written.set_lost_worker(stop.lost_worker);
    }
}

void write_job(const job& from, wire::JobEntry& entry) {
    *entry.mutable_spec() = from.spec;
    entry.set_phase(wire_phase(from.phase));
    entry.set_outcome(wire_outcome(from.phase));
    entry.set_message(from.message);
    entry.set_attempt(from.attempt.get());
    entry.set_token(from.token.get());
    entry.set_stop_offset(from.stop_offset.get());
    entry.set_checkpoint_ms(static_cast<std::uint64_t>(from.checkpoint.count()));
    entry.set_stopping(from.stopping);
    entry.set_cancel_requested(from.cancel_requested);
    entry.set_submitted_ms(to_ms(from.submitted));
    entry.set_changed_ms(to_ms(from.changed));
    entry.set_failures(from.failures);
    write_members(from, entry);
    write_stops(from, entry);
}

void read_members(const wire::JobEntry& entry, job& into) {
    for (const auto& member : entry.members()) {
        into.members.push_back({.worker = worker_id{member.worker()},
                                .version = incarnation{member.incarnation()},
                                .count = member.count()});
    }
}

void read_stops(const wire::JobEntry& entry, job& into) {
    for (const auto& stop : entry.stops()) {
        into.stops.push_back({.attempt = attempt_number{stop.attempt()},
                              .reason = stop.reason(),
                              .at = from_ms(stop.at_ms()),
                              .failed_worker = worker_id{stop.failed_worker()},
                              .lasted = std::chrono::milliseconds{stop.lasted_ms()},
                              .lost_worker = stop.lost_worker()});
    }
}

job read_job(const wire::JobEntry& entry) {
    job read{.id = job_id{entry.spec().id()},
             .spec = entry.spec(),
             .phase = read_phase(entry),
             .attempt = attempt_number{entry.attempt()},
             .token = log_offset{entry.token()},
             .stop_offset = log_offset{entry.stop_offset()},
             .stopping = entry.stopping(),
             .cancel_requested = entry.cancel_requested(),
             .checkpoint = std::chrono::milliseconds{entry.checkpoint_ms()},
             .failures = entry.failures(),
             .submitted = from_ms(entry.submitted_ms()),
             .changed = from_ms(entry.changed_ms()),
             .message = entry.message()};
    read_members(entry, read);
    read_stops(entry, read);
    return read;
}

}  // namespace

std::string job_codec::save(const job_state& state) {
    wire::JobStateSection section;
    for (const auto& [id, facts] : state.facts_) {
        *section.add_workers() = facts;
    }
    for (const auto& [id, one] : state.jobs_) {
        if (!is_ended(one.phase)) {
            write_job(one, *section.add_live());
        }
    }
    for (const auto& id : state.ended_) {
        write_job(state.jobs_.at(id), *section.add_ended());
    }
    return section.SerializeAsString();
}

result<void> job_codec::load(job_state& state, std::string_view data) {
    wire::JobStateSection section;
    if (!section.ParseFromArray(data.data(), static_cast<int>(data.size()))) {
        return failure{failure_kind::invalid, "the jobs section of the snapshot cannot be read",
                       "load another snapshot"};
    }
    std::vector<wire::WorkerFacts> facts(section.workers().begin(), section.workers().end());
    std::map<job_id, job> jobs;
    std::deque<job_id> ended;
    for (const auto& entry : section.live()) {
        jobs.emplace(job_id{entry.spec().id()}, read_job(entry));
    }
    for (const auto& entry : section.ended()) {
        ended.emplace_back(entry.spec().id());
        jobs.emplace(job_id{entry.spec().id()}, read_job(entry));
    }
    const auto listed = static_cast<std::size_t>(section.live_size()) +
                        static_cast<std::size_t>(section.ended_size());
    if (jobs.size() != listed) {
        return failure{failure_kind::invalid, "the jobs section of the snapshot names a job twice",
                       "load another snapshot"};
    }
    state.replace(std::move(facts), std::move(jobs), std::move(ended));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace baobabrack
