// Which scheduler leads: claims, confirmation and resignation.
#include <algorithm>
#include <utility>

#include "baobabrack/observe/json_log.hpp"
#include "baobabrack/workload/scheduler_node.hpp"
#include "baobabrack/workload/scheduler_node_limits.hpp"

namespace baobabrack::workload {

namespace {

using namespace std::chrono_literals;
// Followers take over from a leader that has stored nothing for longer than the confirmation
// interval plus a response time, and has missed several pings.
constexpr duration leader_timeout = 1000ms;

}  // namespace

void scheduler_node::apply_leader_record(const keyed_entry& entry) {
    wire::WorkloadLeader record;
    if (entry.offset < leader_offset_ || !record.ParseFromString(entry.record.value)) {
        return;
    }
    if (record.scheduler() != leader_id_) {
        log_event(log_level::info, "leader-changed")
            .field("leader", record.scheduler())
            .field("offset", entry.offset.get());
    }
    leader_id_ = record.scheduler();
    leader_endpoint_ = record.zmq_endpoint();
    leader_term_ = record.term() > 0 ? record.term() : entry.offset.get() + 1;
    leader_offset_ = entry.offset;
    leader_resigned_ = record.resigned();
    leader_last_seen_ = deps_.loop.now();
}

void scheduler_node::maybe_claim_leadership() {
    if (is_leader() || claiming_ || resigning_ || !progress_.caught_up()) {
        return;
    }
    const auto now = deps_.loop.now();
    const bool no_leader = leader_id_.empty() || leader_resigned_ || leader_id_ == options_.id;
    const bool leader_lost_store = pings_.reports_store_loss(leader_endpoint_);
    const bool leader_silent = !pings_.reports_leadership(leader_endpoint_);
    const auto timeout =
        no_leader || leader_lost_store ? claim_delay_ : leader_timeout + claim_delay_;
    const bool leader_gone = no_leader || leader_lost_store || leader_silent;
    if (leader_gone && progress_.consecutive_failures() == 0 &&
        now - leader_last_seen_ >= timeout) {
        claim_leadership();
    }
}

keyed_record scheduler_node::make_leader_record(bool resigned) {
    wire::WorkloadLeader record;
    record.set_scheduler(options_.id);
    record.set_zmq_endpoint(options_.zmq_endpoint);
    record.set_incarnation(options_.version.get());
    record.set_term(is_leader() ? term_.get() : 0);
    record.set_batch(++batch_count_);
    record.set_resigned(resigned);
    return {.key = std::string{leader_key}, .value = record.SerializeAsString()};
}

void scheduler_node::claim_leadership() {
    claiming_ = true;
    progress_.pause();
    writer_.reset(progress_.next_offset());
    // A term of zero means that there is no leader.
    term_ = log_offset{progress_.next_offset().get() + 1};
    log_event(log_level::info, "lead-claimed")
        .field("expected_end", progress_.next_offset().get())
        .field("previous", leader_id_)
        .field("silent_ms", to_ms(deps_.loop.now() - leader_last_seen_));
    writer_.write({make_leader_record(false)}, [this](conditional_writer::outcome write_outcome) {
        claiming_ = false;
        if (write_outcome == conditional_writer::outcome::stored) {
            become_leader();
        } else {
            leader_last_seen_ = deps_.loop.now();
            progress_.resume(progress_.next_offset());
        }
    });
}

void scheduler_node::become_leader() {
    const auto now = deps_.loop.now();
    leader_id_ = options_.id;
    leader_endpoint_ = options_.zmq_endpoint;
    leader_resigned_ = false;
    leader_since_ = now;
    // A leader reads submissions as soon as they are stored.
    intake_.set_min_poll_interval({});
    sessions_.begin_term(term_.get());
    progress_deletions_.clear();
    auto scheduling = options_.scheduling;
    scheduling.max_progress_bytes = max_value_size(deps_.log.limits(), key_allowance);
    scheduler_ = std::make_unique<scheduler>(scheduling);
    const auto lease = options_.scheduling.lease;
    scheduler_->load(
        jobs_, now,
        now + max_confirmation_age + lease + lease / 25 + options_.scheduling.lease_slack);
    log_event(log_level::info, "lead-taken")
        .field("term", term_.get())
        .field("open_jobs", static_cast<std::uint64_t>(scheduler_->open_jobs()))
        .field("unread_jobs", static_cast<std::uint64_t>(scheduler_->unread_jobs()));
    guards_.begin_term(now);
    for (const auto& [host, endpoint] : guards_.endpoints()) {
        deps_.network.connect(host, endpoint);
        send_redirect(host);
    }
    pings_.ping();
    decide();
}

void scheduler_node::step_down(const std::string& reason) {
    log_event(log_level::warning, "lead-lost").field("term", term_.get()).field("reason", reason);
    scheduler_.reset();
    parts_.clear();
    rejected_jobs_.clear();
    // They may not have been stored.
    stored_workspaces_revision_ = 0;
    intake_.set_min_poll_interval(follower_poll_interval);
    decide_timer_.cancel();
    leader_last_seen_ = deps_.loop.now();
    progress_.resume(writer_.end());
}

bool scheduler_node::leadership_confirmed() const {
    return deps_.loop.now() - writer_.last_confirmed() < max_confirmation_age;
}

void scheduler_node::resign() {
    resigning_ = true;
    flush();
}

}  // namespace baobabrack::workload
