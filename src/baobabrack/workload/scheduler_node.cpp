#include "baobabrack/workload/scheduler_node.hpp"

#include <algorithm>
#include <utility>

#include "baobabrack/keyed/record_sizes.hpp"
#include "baobabrack/observe/json_log.hpp"
#include "baobabrack/workload/report_codec.hpp"

namespace baobabrack::workload {

namespace {

using namespace std::chrono_literals;

const topic_id intake_topic{"keyed.baobabrack-jobs"};
const topic_id progress_topic{"keyed.baobabrack-progress"};
constexpr std::string_view leader_key = "leader";

constexpr duration tick_interval = 100ms;
// Schedulers that do not lead read the topics at most this often. Callers see the state of a job at
// most this much later, and the calls to the store do not grow with the number of decisions.
constexpr duration follower_poll_interval = 120ms;
// Metrics are scraped every few seconds.
constexpr duration metrics_interval = 1s;
constexpr duration cleanup_interval = 1s;
// Wall clocks of hosts differ, and may be adjusted by some seconds.
constexpr duration clock_skew_margin = 5s;
// Limits concurrent deletions, so that other calls get their share of the store.
constexpr std::size_t max_pending_deletions = 20;
// A leader appends at least this often, which confirms that it is still the leader.
constexpr duration confirmation_interval = 700ms;
// A leader extends leases only this long after the last confirmation. A new leader relies on this
// to bound the leases of its predecessor.
constexpr duration max_confirmation_age = 2000ms;
// Followers take over from a leader that has stored nothing for longer than the confirmation
// interval plus a response time, and has missed several pings.
constexpr duration leader_timeout = 1000ms;
// An append that is unanswered for this long, many times the usual response time, counts as
// refused.
constexpr duration append_response_timeout = 600ms;
// A scheduler far from the store decides slowly, so it waits longer before it claims leadership.
constexpr int claim_delay_per_response_time = 2;
constexpr duration max_claim_delay = 150ms;
// A new leader places no runs before all guards have reported, or for this long: it would preempt
// runs on the few hosts that it knows although others are idle.
constexpr duration initial_report_timeout = 250ms;

// Part of each append that is left for the record of the leader, in bytes.
constexpr std::size_t leader_record_allowance = 1024;
// Part of each record that is left for its key when the size of progress is planned, in bytes.
constexpr std::size_t key_allowance = 128;
constexpr duration reduction_log_interval = 5s;

// Returns what the value of a record may have for the store to take it, in bytes.
std::size_t max_value_size(const store_limits& limits, std::size_t key_size) {
    const auto record =
        std::min(limits.record_bytes, limits.request_bytes - leader_record_allowance);
    return record - std::min(record, key_size + record_overhead_bytes);
}

std::int64_t to_ms(duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}  // namespace

scheduler_node::scheduler_node(options opts, dependencies deps)
    : options_(std::move(opts)),
      deps_(deps),
      intake_(deps.loop, deps.log,
              {.topic = intake_topic, .min_poll_interval = follower_poll_interval}),
      intake_end_(
          deps.log, {.topic = intake_topic}, [this] { return intake_.next_offset(); },
          [this](const keyed_entry& entry) { apply_intake(entry); }),
      progress_(deps.loop, deps.log,
                {.topic = progress_topic, .min_poll_interval = follower_poll_interval}),
      writer_(deps.loop, deps.log, {.topic = progress_topic}),
      pings_({.id = options_.id, .zmq_endpoint = options_.zmq_endpoint, .seeds = options_.seeds},
             deps.loop, deps.network),
      intake_writer_(
          {.topic = intake_topic, .zmq_endpoint = options_.zmq_endpoint}, deps.loop, deps.log,
          deps.network, pings_, [this] { return store_available(); },
          [this](const keyed_entry& entry) { apply_intake(entry); }),
      tick_timer_(deps.loop),
      decide_timer_(deps.loop) {
}

scheduler_node::~scheduler_node() = default;

void scheduler_node::start() {
    deps_.network.on_message([this](const std::string& sender, const wire::PeerMessage& message) {
        handle_message(sender, message);
    });
    leader_last_seen_ = deps_.loop.now();
    intake_.start([this](const keyed_entry& entry) { apply_intake(entry); }, [] {});
    progress_.start([this](const keyed_entry& entry) { apply_progress(entry); },
                    [this, began = deps_.loop.now(), first = true]() mutable {
                        if (std::exchange(first, false)) {
                            claim_delay_ =
                                std::min((deps_.loop.now() - began) * claim_delay_per_response_time,
                                         max_claim_delay);
                        }
                        maybe_claim_leadership();
                    });
    tick();
    pings_.start([this] {
        return peer_pings::state{.term = is_leader() ? term_.get() : 0,
                                 .store_available = store_available()};
    });
}

void scheduler_node::tick() {
    tick_timer_.arm(tick_interval, [this] { tick(); });
    if (is_leader()) {
        delete_expired_jobs();
        decide();
    } else {
        maybe_claim_leadership();
    }
    if (deps_.loop.now() - metrics_updated_ >= metrics_interval) {
        update_metrics();
    }
}

void scheduler_node::apply_intake(const keyed_entry& entry) {
    const auto id = jobs_.apply_intake(entry.record.key, entry.record.value, entry.offset);
    if (id.get().empty() || !is_leader()) {
        return;
    }
    const auto* job = jobs_.find(id);
    scheduler_->add_job(*job, deps_.loop.now());
    if (job->cancelled) {
        scheduler_->cancel_job(id);
    }
    schedule_decision();
}

// Makes one decision for all events of one iteration of the event loop.
void scheduler_node::schedule_decision() {
    if (!decide_timer_.armed()) {
        decide_timer_.arm(duration::zero(), [this] { decide(); });
    }
}

void scheduler_node::apply_progress(const keyed_entry& entry) {
    if (entry.record.key == leader_key) {
        apply_leader_record(entry);
        return;
    }
    if (guards_.apply(entry.record.key, entry.record.value, entry.offset)) {
        return;
    }
    jobs_.apply_progress(entry.record.key, entry.record.value, entry.offset);
}

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

bool scheduler_node::store_available() const {
    if (!intake_.caught_up() || intake_.consecutive_failures() > 0) {
        return false;
    }
    if (!is_leader()) {
        return progress_.caught_up() && progress_.consecutive_failures() == 0;
    }
    return deps_.loop.now() - writer_.last_confirmed() <
           confirmation_interval + append_response_timeout;
}

void scheduler_node::step_down(const std::string& reason) {
    log_event(log_level::warning, "lead-lost").field("term", term_.get()).field("reason", reason);
    scheduler_.reset();
    parts_.clear();
    rejected_jobs_.clear();
    intake_.set_min_poll_interval(follower_poll_interval);
    decide_timer_.cancel();
    leader_last_seen_ = deps_.loop.now();
    progress_.resume(writer_.end());
}

bool scheduler_node::leadership_confirmed() const {
    return deps_.loop.now() - writer_.last_confirmed() < max_confirmation_age;
}

bool scheduler_node::guards_reported() const {
    if (deps_.loop.now() - leader_since_ >= initial_report_timeout) {
        return true;
    }
    return sessions_.all_lists_known(guards_.hosts());
}

const workload_config* scheduler_node::usable_config() const {
    const auto confirmed = deps_.config.confirmed();
    const bool config_recent = confirmed && deps_.loop.now() - *confirmed < options_.max_config_age;
    return config_recent && leadership_confirmed() && guards_reported() ? deps_.config.current()
                                                                        : nullptr;
}

void scheduler_node::decide() {
    if (!is_leader()) {
        return;
    }
    scheduler_->decide(usable_config(), deps_.loop.now(), deps_.loop.wall_now());
    log_decisions();
    flush();
    auto hosts = scheduler_->drain_changed_hosts();
    hosts.merge(std::exchange(replies_due_, {}));
    for (const auto& host : hosts) {
        send_orders(host);
    }
}

void scheduler_node::flush() {
    if (writer_.busy() || !is_leader() || !parts_.empty()) {
        return;
    }
    const bool confirmation_due =
        deps_.loop.now() - writer_.last_confirmed() >= confirmation_interval;
    auto batch = scheduler_->drain_batch(confirmation_due);
    const bool batch_empty =
        batch.changes.empty() && batch.applied_ends.empty() && progress_deletions_.empty();
    if (!batch_empty || confirmation_due || resigning_) {
        write_batch(std::move(batch));
    }
}

// Divides the batch into appends that the store takes. A job whose record is too large even without
// details is given up, so that it does not keep the others from being stored.
void scheduler_node::write_batch(progress_batch batch) {
    const auto limits = deps_.log.limits();
    progress_parts parts(limits.request_bytes - leader_record_allowance);
    for (auto& change : batch.changes) {
        keyed_record record{.key = std::string{progress_prefix} + change.job.get(), .value = ""};
        record.value = encode(change, max_value_size(limits, record.key.size()));
        parts.add(std::move(change), std::move(record));
    }
    for (const auto& id : std::exchange(progress_deletions_, {})) {
        parts.add({.key = std::string{progress_prefix} + id.get(), .value = ""});
    }
    for (auto& record : guards_.drain_changes(deps_.loop.now())) {
        parts.add(std::move(record));
    }
    parts_ = parts.finish(std::move(batch.applied_ends));
    write_next_part();
}

std::string scheduler_node::encode(progress_batch::change& change, std::size_t max_bytes) {
    auto encoded = encode_progress(change.progress, max_bytes);
    if (!encoded) {
        change.progress = scheduler_->give_up_unstorable(change.job, deps_.loop.wall_now());
        log_decisions();
        return to_wire(change.progress).SerializeAsString();
    }
    if (encoded->detail != progress_detail::full &&
        deps_.loop.now() - reduction_logged_ >= reduction_log_interval) {
        reduction_logged_ = deps_.loop.now();
        log_event(log_level::warning, "progress-reduced")
            .field("job", change.job.get())
            .field("stored", to_string(encoded->detail))
            .field("bytes", static_cast<std::uint64_t>(encoded->value.size()))
            .field("max_bytes", static_cast<std::uint64_t>(max_bytes));
    }
    return std::move(encoded->value);
}

void scheduler_node::write_next_part() {
    progress_part part = std::move(parts_.front());
    parts_.pop_front();
    const bool resigning = resigning_ && parts_.empty();
    part.records.push_back(make_leader_record(resigning));
    const auto first = writer_.end();
    const auto records = part.records;
    writer_.write(records, [this, part = std::move(part), first,
                            resigning](conditional_writer::outcome write_outcome) {
        if (write_outcome == conditional_writer::outcome::superseded) {
            step_down("another scheduler has stored its records first");
            return;
        }
        if (write_outcome == conditional_writer::outcome::rejected) {
            isolate_rejected(part);
            return;
        }
        handle_batch_stored(part.batch, part.records, first);
        for (const auto& id : std::exchange(rejected_jobs_, {})) {
            scheduler_->give_up_unstorable(id, deps_.loop.wall_now());
        }
        if (!parts_.empty()) {
            write_next_part();
        } else if (resigning) {
            step_down("this scheduler is stopping");
        } else {
            decide();
        }
    });
}

// The store has refused a part within its known limits. Halves the part until one job's record is
// left, and leaves that out. The job is given up once the store has taken another append, so that a
// store that refuses everything ends no job.
void scheduler_node::isolate_rejected(progress_part part) {
    part.records.pop_back();
    if (part.records.empty()) {
        step_down("the store does not take the records");
        return;
    }
    if (part.records.size() > 1) {
        auto [first, second] = halve(std::move(part));
        parts_.push_front(std::move(second));
        parts_.push_front(std::move(first));
        write_next_part();
        return;
    }
    for (const auto& change : part.batch.changes) {
        rejected_jobs_.push_back(change.job);
    }
    for (auto& waiting : parts_) {
        waiting.batch.applied_ends.clear();
    }
    scheduler_->store_ends_again();
    parts_.emplace_front();
    write_next_part();
}

void scheduler_node::handle_batch_stored(const progress_batch& batch,
                                         const std::vector<keyed_record>& records,
                                         log_offset first) {
    std::uint64_t offset = first.get();
    for (const auto& record : records) {
        if (record.key != leader_key) {
            jobs_.apply_progress(record.key, record.value, log_offset{offset});
        }
        ++offset;
    }
    scheduler_->mark_stored(batch);
}

// Deletes jobs that ended longer ago than the retention time. The submission is deleted first,
// since a submission without progress would run again; the progress is deleted with a later batch.
void scheduler_node::delete_expired_jobs() {
    const auto now = deps_.loop.now();
    if (now - last_cleanup_ < cleanup_interval || !leadership_confirmed()) {
        return;
    }
    last_cleanup_ = now;
    const auto retention = options_.status_retention + clock_skew_margin;
    const auto cutoff =
        deps_.loop.wall_now() - std::chrono::duration_cast<std::chrono::milliseconds>(retention);
    for (const auto& id : jobs_.ended_before(cutoff)) {
        if (pending_deletions_.size() < max_pending_deletions &&
            pending_deletions_.insert(id).second) {
            delete_job(id);
        }
    }
}

void scheduler_node::delete_job(const job_id& id) {
    const std::vector<keyed_record> records{
        {.key = std::string{submission_prefix} + id.get(), .value = ""},
        {.key = std::string{cancel_prefix} + id.get(), .value = ""}};
    deps_.log.append({.topic = intake_topic, .records = records, .expected_end = std::nullopt},
                     [this, id, records,
                      alive = std::weak_ptr<bool>(alive_)](const result<append_reply>& reply) {
                         if (alive.expired()) {
                             return;
                         }
                         pending_deletions_.erase(id);
                         if (!reply) {
                             return;
                         }
                         auto offset = reply.value().first.get();
                         for (const auto& record : records) {
                             jobs_.apply_intake(record.key, record.value, log_offset{offset++});
                         }
                         progress_deletions_.push_back(id);
                     });
}

void scheduler_node::resign() {
    resigning_ = true;
    flush();
}

void scheduler_node::handle_message(const std::string& /*sender*/,
                                    const wire::PeerMessage& message) {
    if (message.kind_case() == wire::PeerMessage::kWorkloadReport) {
        handle_report(message.workload_report());
    } else if (message.kind_case() == wire::PeerMessage::kWorkloadPing) {
        pings_.handle(message.workload_ping());
    } else if (message.kind_case() == wire::PeerMessage::kWorkloadIntake) {
        intake_writer_.handle(message.workload_intake());
    } else if (message.kind_case() == wire::PeerMessage::kWorkloadIntakeReply) {
        intake_writer_.handle(message.workload_intake_reply());
    }
}

void scheduler_node::handle_report(const wire::WorkloadReport& message) {
    deps_.network.connect(message.host(), message.zmq_endpoint());
    if (!is_leader()) {
        redirect_guard(message);
        return;
    }
    const auto* report = sessions_.accept_report(message, deps_.loop.now());
    if (report == nullptr) {
        return;
    }
    guards_.record_contact(message.host(), message.zmq_endpoint(), deps_.loop.now());
    const bool may_extend =
        !message.worker().id().empty() && scheduler_->handle_report(*report, deps_.loop.now());
    sessions_.set_lease_extendable(host_id{message.host()}, may_extend);
    replies_due_.insert(host_id{message.host()});
    schedule_decision();
}

void scheduler_node::redirect_guard(const wire::WorkloadReport& message) {
    if (!leader_id_.empty() && leader_id_ != options_.id && !leader_resigned_) {
        send_redirect(message.host());
    }
}

void scheduler_node::send_redirect(const std::string& guard) {
    wire::PeerMessage out;
    auto& redirect = *out.mutable_workload_redirect();
    redirect.set_leader(leader_id_);
    redirect.set_zmq_endpoint(leader_endpoint_);
    redirect.set_term(is_leader() ? term_.get() : leader_term_);
    deps_.network.send(guard, out);
}

void scheduler_node::send_orders(const host_id& host) {
    const auto* report = sessions_.find(host);
    if (report == nullptr || !is_leader()) {
        return;
    }
    wire::PeerMessage out;
    auto& orders = *out.mutable_workload_orders();
    sessions_.fill_header(host, orders);
    orders.set_scheduler(options_.id);
    orders.set_zmq_endpoint(options_.zmq_endpoint);
    const bool may_grant = leadership_confirmed() && sessions_.is_lease_extendable(host);
    const auto lease = may_grant ? options_.scheduling.lease : duration::zero();
    orders.set_granted_ms(static_cast<std::uint64_t>(to_ms(lease)));
    to_wire(scheduler_->orders_for(*report), orders);
    deps_.network.send(host.get(), out);
}

bool scheduler_node::is_up_to_date() const {
    const auto now = deps_.loop.now();
    const auto recent = [&](const std::optional<time_point>& confirmed_at) {
        return confirmed_at &&
               now - *confirmed_at < options_.max_read_age + options_.max_read_age / 2;
    };
    const bool progress_recent =
        is_leader() ? leadership_confirmed() : recent(progress_.confirmed());
    return intake_.caught_up() && recent(intake_.confirmed()) && progress_recent;
}

void scheduler_node::log_decisions() {
    for (const auto& decision : scheduler_->drain_decision_events()) {
        log_event event(log_level::info, decision.event);
        if (!decision.task.step.job.get().empty()) {
            event.field("job", decision.task.step.job.get());
        }
        if (decision.run.get() > 0) {
            event.field("task", to_text(decision.task)).field("run", decision.run.get());
        }
        if (!decision.host.get().empty()) {
            event.field("host", decision.host.get());
        }
        if (!decision.detail.empty()) {
            event.field("reason", decision.detail);
        }
        event.field("term", term_.get());
        if (!leadership_confirmed()) {
            // Another scheduler may be the leader by now; then this decision is not stored.
            event.field("proof_age_ms", to_ms(deps_.loop.now() - writer_.last_confirmed()));
        }
        if (const auto* config = deps_.config.current()) {
            event.field("config_version", config->version.get());
        }
    }
}

void scheduler_node::update_metrics() {
    metrics_updated_ = deps_.loop.now();
    auto& metrics = deps_.metrics;
    metrics.get_gauge("baobabrack_leading", "Whether this scheduler leads")
        .set(is_leader() ? 1 : 0);
    metrics.get_gauge("baobabrack_jobs", "Jobs that are known")
        .set(static_cast<double>(jobs_.jobs().size()));
    metrics.get_gauge("baobabrack_records_unreadable", "Stored records that could not be read")
        .set(static_cast<double>(jobs_.unreadable_records()));
    if (!is_leader()) {
        return;
    }
    const auto& counts = scheduler_->counts();
    const auto set = [&](const char* event, std::uint64_t value) {
        metrics
            .get_gauge("baobabrack_runs", "Runs by what became of them, under this leader",
                       {{"event", event}})
            .set(static_cast<double>(value));
    };
    const auto set_trials = [&](const char* event, std::uint64_t value) {
        metrics
            .get_gauge("baobabrack_trials",
                       "Trials of tasks suspected of crashing workers, under this leader",
                       {{"event", event}})
            .set(static_cast<double>(value));
    };
    set("started", counts.started);
    set("done", counts.done);
    set("failed", counts.failed);
    set("stopped", counts.stopped);
    set("lost", counts.lost);
    set("refused", counts.refused);
    set("preempted", counts.preempted);
    metrics
        .get_gauge("baobabrack_worker_crashes",
                   "Crashes of workers that had runs, under this leader")
        .set(static_cast<double>(counts.worker_crashes));
    set_trials("begun", counts.trials);
    set_trials("passed", counts.trials_passed);
    metrics
        .get_gauge("baobabrack_jobs_given_up",
                   "Jobs with a task that crashes workers, under this leader")
        .set(static_cast<double>(counts.given_up));
    metrics
        .get_gauge("baobabrack_jobs_unstorable",
                   "Jobs that were given up as the store does not take their state, under this "
                   "leader")
        .set(static_cast<double>(counts.unstorable));
    metrics.get_gauge("baobabrack_open_jobs", "Jobs that have not ended")
        .set(static_cast<double>(scheduler_->open_jobs()));
}

result<void> scheduler_node::check_storable(const job_spec& spec) const {
    return workload::check_storable(spec, max_value_size(deps_.log.limits(), key_allowance));
}

void scheduler_node::submit(const job_spec& spec, duration deadline,
                            intake_writer::receipt_handler done) {
    intake_writer_.write({.key = std::string{submission_prefix} + spec.id.get(),
                          .value = to_wire(spec).SerializeAsString()},
                         deadline, std::move(done));
}

void scheduler_node::cancel(const job_id& id, duration deadline,
                            intake_writer::receipt_handler done) {
    wire::WorkloadCancel record;
    record.set_cancelled_unix_ms(
        static_cast<std::uint64_t>(deps_.loop.wall_now().time_since_epoch().count()));
    intake_writer_.write(
        {.key = std::string{cancel_prefix} + id.get(), .value = record.SerializeAsString()},
        deadline, std::move(done));
}

}  // namespace baobabrack::workload
