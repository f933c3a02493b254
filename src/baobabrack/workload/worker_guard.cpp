#include "baobabrack/workload/worker_guard.hpp"

#include <algorithm>
#include <utility>

#include "baobabrack/observe/json_log.hpp"
#include "baobabrack/workload/report_codec.hpp"
#include "baobabrack/workload/report_parts.hpp"

namespace baobabrack::workload {

namespace {

using namespace std::chrono_literals;

// Three reports fit into the timeout after which a scheduler considers a host silent.
constexpr duration report_interval = 500ms;
// A periodic report that is late by more than this shows that the process was paused.
constexpr duration pause_tolerance = 300ms;
// After this time without orders, reports go to every seed in order to find the leader.
constexpr duration leader_timeout = 1200ms;
// A report lists all runs. With thousands of them, a report at each change would fill the link, so
// the next one waits in proportion to the size of the last.
constexpr std::size_t report_bytes_per_millisecond = 10'000;
constexpr duration renewal_wait = 500ms;
// After an unanswered renewal, the following ones wait for a shorter time, so that another loss is
// detected sooner.
constexpr duration short_renewal_wait = 150ms;
constexpr duration short_wait_period = 5s;
// A worker that has answered no renewal for this time is considered unresponsive.
constexpr duration worker_timeout = 1200ms;
// For this long, reports tell what the worker's previous instance had run.
constexpr duration replaced_worker_memory = 30s;
constexpr duration renewal_retry_delay = 200ms;
// Increment of the token past one that another caller used.
constexpr std::uint64_t fenced_token_step = 1U << 13U;

std::int64_t to_ms(duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}  // namespace

std::string_view to_string(call_outcome outcome) {
    switch (outcome) {
        case call_outcome::accepted:
            return "accepted";
        case call_outcome::fenced:
            return "fenced";
        case call_outcome::outdated:
            return "outdated";
        case call_outcome::late:
            return "late";
        case call_outcome::no_room:
            return "no_room";
        case call_outcome::unavailable:
            return "unavailable";
        case call_outcome::unreachable:
            return "unreachable";
        case call_outcome::rejected:
            return "rejected";
        case call_outcome::other_worker:
            return "other_worker";
        case call_outcome::unanswered:
            return "unanswered";
        case call_outcome::disconnected:
            return "disconnected";
    }
    return "unknown";
}

worker_guard::worker_guard(options opts, runtime& loop, peer_network& network, worker_port& worker,
                           metrics_registry& metrics)
    : options_(std::move(opts)),
      loop_(loop),
      network_(network),
      worker_(worker),
      metrics_(metrics),
      evacuations_(options_.data_centre, options_.evacuation_bound),
      periodic_report_timer_(loop),
      report_timer_(loop),
      renewal_timer_(loop) {
}

void worker_guard::start() {
    network_.on_message([this](const std::string& /*sender*/, const wire::PeerMessage& message) {
        handle_message(message);
    });
    send_periodic_report();
}

void worker_guard::set_seeds(std::vector<std::string> seeds) {
    options_.seeds = std::move(seeds);
}

void worker_guard::send_periodic_report() {
    periodic_report_timer_.arm(report_interval, [this] { send_periodic_report(); });
    check_pause();
    last_period_at_ = loop_.now();
    send_report();
}

// After a pause, the host may have been suspended, and the worker's clock with it. Its lease then
// lasts longer than the time that has passed here says.
void worker_guard::check_pause() {
    const auto period = loop_.now() - last_period_at_;
    if (last_period_at_ == time_point{} || period <= report_interval + pause_tolerance) {
        return;
    }
    log_event(log_level::warning, "guard-paused").field("silent_ms", to_ms(period));
    last_period_at_ = loop_.now();
    lease_.assume(loop_.now() + options_.max_lease);
}

bool worker_guard::announce(const worker_announcement& announcement) {
    const auto& instance = announcement.facts.instance;
    const bool same_instance = facts_ && facts_->instance == instance;
    // A delayed announcement may name an instance that has already ended. An instance that appears
    // to be older is accepted only while the known one is unresponsive, since the host's clock may
    // have been set back.
    if (facts_ && !same_instance && instance.version < facts_->instance.version &&
        !lease_.suspended()) {
        return false;
    }
    if (same_instance && announcement.sequence <= announcement_sequence_) {
        return false;
    }
    if (!same_instance) {
        const bool first_instance = !facts_;
        const bool same_id = facts_ && facts_->instance.worker == instance.worker;
        if (runs_.lists_seen()) {
            replaced_ = {.instance = facts_->instance,
                         .lists_age = loop_.now() - last_lists_at_,
                         .runs = runs_.sent_runs()};
            replaced_at_ = loop_.now();
        }
        reset_worker_state();
        instance_seen_at_ = loop_.now();
        instance_began_ = announcement.began;
        last_lists_at_ = loop_.now();
        // If the worker was already running when this guard started, an earlier guard may have
        // extended its lease; so may calls to the previous instance of the same id.
        lease_.reset(first_instance || same_id ? loop_.now() + options_.max_lease : time_point{});
        log_event(log_level::info, "worker-announced")
            .field("worker", instance.worker.get())
            .field("incarnation", instance.version.get())
            .field("clock_ms", announcement.clock ? announcement.clock->get() : 0);
    }
    const bool starts_draining =
        announcement.facts.draining && (!same_instance || !facts_->draining);
    const bool capacity_changed = same_instance && facts_->capacity != announcement.facts.capacity;
    facts_ = announcement.facts;
    announced_at_ = loop_.now();
    announcement_sequence_ = announcement.sequence;
    announcement_age_.record_announcement(announcement.clock, loop_.now());
    check_announcement_age();
    if (!lease_.has_clock()) {
        update_clock({.outcome = call_outcome::accepted, .clock = announcement.clock});
    }
    if (starts_draining) {
        log_event(log_level::info, "worker-draining").field("worker", instance.worker.get());
    }
    if (capacity_changed) {
        log_event(log_level::info, "worker-capacity-changed")
            .field("worker", instance.worker.get())
            .field("cpu_millicores", facts_->capacity.cpu.get())
            .field("memory_mib", facts_->capacity.memory.get())
            .field("accelerators", facts_->capacity.accelerators.get());
        schedule_report();
    }
    if (!same_instance || starts_draining) {
        schedule_report();
        schedule_renewal();
    }
    return true;
}

void worker_guard::leave(const worker_id& worker) {
    if (!facts_ || facts_->instance.worker != worker) {
        return;
    }
    log_event(log_level::info, "worker-left").field("worker", worker.get());
    facts_->draining = true;
    schedule_report();
}

// State of an earlier worker instance does not apply to the current one.
void worker_guard::reset_worker_state() {
    runs_.clear();
    instance_doubtful_ = false;
    // Calls that were meant for the previous instance must not be carried out by this one later.
    increase_token(token_step);
    announcement_age_.reset();
    unconfirmed_starts_.clear();
    stops_sent_.clear();
    failed_stops_.clear();
    ends_stored_ = 0;
    last_applied_renewal_ = renewals_sent_;
    renewal_in_flight_ = false;
}

void worker_guard::schedule_report() {
    if (!report_timer_.armed()) {
        const auto interval =
            std::chrono::milliseconds{last_report_bytes_ / report_bytes_per_millisecond};
        report_timer_.arm(std::max(last_report_at_ + interval - loop_.now(), duration::zero()),
                          [this] { send_report(); });
    }
}

void worker_guard::send_report() {
    report_timer_.cancel();
    check_pause();
    worker_report report;
    report.facts.instance.host = options_.host;
    if (facts_) {
        report.facts = *facts_;
        if (facts_->time_left) {
            report.facts.time_left =
                std::max(*facts_->time_left - (loop_.now() - announced_at_), duration::zero());
        }
        suspend_lease_if_silent();
        report.lease_suspended = lease_.suspended();
        report.lease_remaining = lease_.remaining(loop_.now());
        report.lists_age = loop_.now() - last_lists_at_;
        check_announcement_age();
        report.capacity_outdated = capacity_outdated_;
        report.worker_age = worker_age();
        if (replaced_ && loop_.now() - replaced_at_ < replaced_worker_memory) {
            report.replaced = replaced_;
            report.replaced->lists_age += loop_.now() - replaced_at_;
        }
        runs_.add_to(report, reports_sent_ + 1);
    }
    wire::WorkloadReport message;
    to_wire(report, message);
    message.set_guard_incarnation(options_.version.get());
    message.set_zmq_endpoint(options_.zmq_endpoint);
    message.set_term(term_);
    message.set_sequence(++reports_sent_);
    message.set_sent_at_us(static_cast<std::uint64_t>(loop_.now().time_since_epoch().count()));
    std::set<std::string> receivers;
    if (!leader_endpoint_.empty()) {
        receivers.insert(leader_endpoint_);
    }
    if (leader_endpoint_.empty() || loop_.now() - last_orders_at_ > leader_timeout) {
        receivers.insert(options_.seeds.begin(), options_.seeds.end());
    }
    last_report_at_ = loop_.now();
    last_report_bytes_ = message.ByteSizeLong();
    const auto parts = split_report(message);
    for (const auto& endpoint : receivers) {
        network_.connect(endpoint, endpoint);
        for (const auto& part : parts) {
            wire::PeerMessage out;
            *out.mutable_workload_report() = part;
            network_.send(endpoint, out);
        }
    }
}

void worker_guard::handle_message(const wire::PeerMessage& message) {
    if (message.kind_case() == wire::PeerMessage::kWorkloadOrders) {
        handle_orders(message.workload_orders());
    } else if (message.kind_case() == wire::PeerMessage::kWorkloadRedirect) {
        const auto& endpoint = message.workload_redirect().zmq_endpoint();
        const bool silent = loop_.now() - last_orders_at_ > leader_timeout;
        const bool newer = message.workload_redirect().term() > term_;
        if (endpoint != leader_endpoint_ && (newer || silent || leader_endpoint_.empty())) {
            leader_endpoint_ = endpoint;
            schedule_report();
        }
    }
}

void worker_guard::handle_orders(const wire::WorkloadOrders& message) {
    if (message.guard_incarnation() != options_.version.get() || message.term() < term_) {
        return;
    }
    if (message.term() > term_) {
        follow_leader(message);
    }
    if (message.sequence() <= last_orders_sequence_) {
        return;
    }
    last_orders_sequence_ = message.sequence();
    leader_endpoint_ = message.zmq_endpoint();
    // A leader that grants no lease has lost the store, and another scheduler may have become the
    // leader since.
    if (message.granted_ms() > 0) {
        last_orders_at_ = loop_.now();
    }
    const time_point sent{duration{static_cast<std::int64_t>(message.report_sent_at_us())}};
    const auto granted = std::chrono::milliseconds{static_cast<std::int64_t>(message.granted_ms())};
    if (message.granted_ms() > 0) {
        lease_.grant(sent + granted);
        lease_.acknowledge_report(message.report_sequence());
    }
    evacuations_.apply(message);
    runs_.acknowledge_report(message.report_sequence());
    const auto orders = from_wire(options_.host, message);
    if (!facts_ || orders.worker != facts_->instance) {
        return;
    }
    ends_stored_ = std::max(ends_stored_, orders.ends_stored);
    for (const auto& known : orders.needs) {
        runs_.record_needs(known);
    }
    for (const auto& run : orders.stops) {
        handle_stop_order(run);
    }
    for (const auto& run : orders.starts) {
        handle_start_order(run);
    }
    schedule_renewal();
}

void worker_guard::follow_leader(const wire::WorkloadOrders& message) {
    log_event(log_level::info, "leader-followed")
        .field("leader", message.scheduler())
        .field("term", message.term())
        .field("previous_term", term_);
    term_ = message.term();
    last_orders_sequence_ = 0;
    token_ = fencing_token{std::max(token_.get() + token_step, message.token_base())};
    // The new leader needs lists that are newer than every call made for an earlier leader.
    runs_.invalidate_lists();
    last_applied_renewal_ = renewals_sent_;
    renewal_in_flight_ = false;
    unconfirmed_starts_.clear();
}

void worker_guard::increase_token(std::uint64_t by) {
    token_ = fencing_token{token_.get() + by};
}

// Ignores the clock of another worker instance, since each instance has a clock of its own.
void worker_guard::update_clock(const call_reply& reply) {
    if (reply.clock && reply.outcome != call_outcome::other_worker) {
        lease_.update_clock(*reply.clock, loop_.now());
        announcement_age_.record_clock(*reply.clock, loop_.now());
    }
}

void worker_guard::suspend_lease_if_silent() {
    const bool silent = loop_.now() - last_lists_at_ > worker_timeout;
    if (silent && !lease_.suspended()) {
        log_event(log_level::warning, "worker-lost")
            .field("worker", facts_->instance.worker.get())
            .field("lists_age_ms", to_ms(loop_.now() - last_lists_at_))
            .field("lease_left_ms", to_ms(lease_.remaining(loop_.now())));
        lease_.suspend();
    }
}

// Returns how long the worker's instance has run. A guard that was restarted has seen only a part
// of that time, and the wall clock may have been set back, so the larger value counts.
duration worker_guard::worker_age() const {
    const duration seen = loop_.now() - instance_seen_at_;
    if (!instance_began_) {
        return seen;
    }
    return std::max(seen, duration{loop_.wall_now() - *instance_began_});
}

void worker_guard::check_announcement_age() {
    const auto age = announcement_age_.value(loop_.now());
    const bool outdated = age > options_.max_announcement_age;
    if (outdated != std::exchange(capacity_outdated_, outdated)) {
        log_event(outdated ? log_level::warning : log_level::info,
                  outdated ? "capacity-outdated" : "capacity-known")
            .field("worker", facts_->instance.worker.get())
            .field("announcement_age_ms", to_ms(age));
        schedule_report();
    }
}

void worker_guard::schedule_renewal() {
    renewal_timer_.arm(duration::zero(), [this] { renew_lease(); });
}

void worker_guard::renew_lease() {
    if (!facts_ || term_ == 0 || renewal_in_flight_) {
        return;
    }
    const bool recent_loss =
        last_renewal_loss_ != time_point{} && loop_.now() - last_renewal_loss_ < short_wait_period;
    const auto usual_wait = recent_loss ? short_renewal_wait : renewal_wait;
    send_renewal(runs_.lists_known() ? usual_wait : duration::zero());
}

// Sends a renewal that replaces the one in flight, if any.
void worker_guard::send_renewal(duration wait) {
    const auto number = ++renewals_sent_;
    renewal_in_flight_ = true;
    current_renewal_ = number;
    renewal_sent_at_ = loop_.now();
    suspend_lease_if_silent();
    worker_.renew({.worker = facts_->instance,
                   .token = token_,
                   .acknowledged_ends = instance_doubtful_ ? 0 : ends_stored_,
                   .lease_until = instance_doubtful_ ? std::nullopt : lease_.extend(loop_.now()),
                   .wait = wait,
                   .timeout = wait + call_timeout},
                  [this, number, sent_at = renewal_sent_at_,
                   instance = facts_->instance](const renew_reply& renewal) {
                      handle_renew_reply(number, sent_at, instance, renewal);
                  });
}

void worker_guard::handle_renew_reply(std::uint64_t number, time_point sent_at,
                                      const worker_instance& instance, const renew_reply& renewal) {
    if (!facts_ || facts_->instance != instance || number <= last_applied_renewal_) {
        return;
    }
    update_clock(renewal.reply);
    const bool is_current = number == current_renewal_;
    renewal_in_flight_ = renewal_in_flight_ && !is_current;
    if (!is_current && renewal.reply.outcome != call_outcome::accepted) {
        return;
    }
    switch (renewal.reply.outcome) {
        case call_outcome::accepted:
            last_applied_renewal_ = number;
            last_response_at_ = loop_.now();
            apply_run_lists(number, sent_at, renewal);
            send_confirmed_starts();
            schedule_renewal();
            return;
        case call_outcome::fenced:
            increase_token(fenced_token_step);
            schedule_renewal();
            return;
        case call_outcome::unanswered:
            increase_token(token_step);
            last_renewal_loss_ = loop_.now();
            break;
        case call_outcome::disconnected:
        case call_outcome::unreachable:
        case call_outcome::other_worker:
            increase_token(token_step);
            doubt_instance(renewal.reply.outcome);
            break;
        default:
            break;
    }
    // The next orders contain these starts again.
    unconfirmed_starts_.clear();
    if (!renewal_timer_.armed()) {
        const auto elapsed = loop_.now() - renewal_sent_at_;
        renewal_timer_.arm(std::max(duration::zero(), renewal_retry_delay - elapsed),
                           [this] { renew_lease(); });
    }
}

// Another instance may be running under the worker's id. It would carry out calls that are meant
// for the known one, so no start is sent, no end is acknowledged and no lease is extended until the
// known instance has returned lists.
void worker_guard::doubt_instance(call_outcome outcome) {
    if (std::exchange(instance_doubtful_, true)) {
        return;
    }
    // The other instance may have got a lease from this renewal, or from a start.
    if (outcome == call_outcome::other_worker || runs_.has_unlisted_starts()) {
        lease_.assume(loop_.now() + options_.max_lease);
    }
    log_event(log_level::warning, "worker-doubtful")
        .field("worker", facts_->instance.worker.get())
        .field("incarnation", facts_->instance.version.get())
        .field("outcome", to_string(outcome))
        .field("lease_left_ms", to_ms(lease_.remaining(loop_.now())));
}

void worker_guard::apply_run_lists(std::uint64_t number, time_point sent_at,
                                   const renew_reply& renewal) {
    last_lists_at_ = std::max(last_lists_at_, sent_at);
    if (std::exchange(instance_doubtful_, false)) {
        schedule_report();
    }
    if (lease_.suspended()) {
        log_event(log_level::info, "worker-regained")
            .field("worker", facts_->instance.worker.get());
        lease_.resume(reports_sent_ + 1);
        schedule_report();
    }
    const bool lists_were_incomplete = runs_.lists_incomplete();
    const auto changes = runs_.apply_lists(number, renewal.lists, ends_stored_);
    if (runs_.lists_incomplete() != lists_were_incomplete) {
        log_event(lists_were_incomplete ? log_level::info : log_level::warning,
                  lists_were_incomplete ? "lists-complete" : "lists-incomplete")
            .field("worker", facts_->instance.worker.get())
            .field("running", static_cast<std::uint64_t>(renewal.lists.runs.size()))
            .field("ends", static_cast<std::uint64_t>(renewal.lists.ends.size()))
            .field("ends_stored", ends_stored_);
    }
    for (const auto& lost : changes.lost_starts) {
        retry_start(lost, lost.outdated
                              ? "it was stopped before it started"
                              : "the worker does not have it, and the token is past its start");
    }
    std::erase_if(stops_sent_, [&](const auto& sent) { return !runs_.may_have(sent.first); });
    // The worker answers again, so stops that failed are retried.
    for (const auto& [task, run] : std::exchange(failed_stops_, {})) {
        stops_sent_[{task, run}] = {};
        handle_stop_order({.task = task, .run = run});
    }
    if (changes.report_needed) {
        schedule_report();
    }
}

}  // namespace baobabrack::workload
