#include "baobabrack/workload/scheduler_node.hpp"

#include <algorithm>
#include <utility>

#include "baobabrack/observe/json_log.hpp"
#include "baobabrack/workload/report_codec.hpp"

namespace baobabrack::workload {

namespace {

using namespace std::chrono_literals;

const topic_id intake_topic{"keyed.baobabrack-jobs"};
const topic_id progress_topic{"keyed.baobabrack-progress"};
constexpr std::string_view leader_key = "leader";

constexpr duration tick_interval = 100ms;
// Metrics are read every few seconds.
constexpr duration metrics_interval = 1s;
constexpr duration forget_interval = 1s;
// Wall clocks of hosts differ, and may be set by some seconds.
constexpr duration forget_margin = 5s;
// Drops that are under way at once, so that other calls get their share of the store.
constexpr std::size_t most_forgetting = 20;
// A leader stores something this often, which proves that it still leads.
constexpr duration proof_interval = 700ms;
// A leader extends leases only this long after the last proof; a new one counts on it.
constexpr duration proof_limit = 2000ms;
// Followers take over from a leader that has stored nothing for longer than its interval and the
// time of an answer, and has missed several pings.
constexpr duration leader_silence = 1000ms;
// An append that is unanswered for this long, many times the usual, counts as refused.
constexpr duration slow_append = 600ms;
// A scheduler far from the store decides slowly, so it waits longer before it claims the lead.
constexpr int claim_delay_per_answer_time = 2;
constexpr duration most_claim_delay = 150ms;
// A new leader places nothing before the guards have reported, or for this long: it would stop
// work on the few hosts that it knows although others are idle.
constexpr duration settling_time = 250ms;

std::int64_t to_ms(duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}  // namespace

scheduler_node::scheduler_node(options opts, environment around)
    : options_(std::move(opts)),
      around_(around),
      intake_(around.loop, around.log, {.topic = intake_topic}),
      progress_(around.loop, around.log, {.topic = progress_topic}),
      writer_(around.loop, around.log, {.topic = progress_topic}),
      pings_({.id = options_.id, .zmq_endpoint = options_.zmq_endpoint, .seeds = options_.seeds},
             around.loop, around.network),
      intake_writer_(
          {.topic = intake_topic, .zmq_endpoint = options_.zmq_endpoint}, around.loop, around.log,
          around.network, pings_, [this] { return store_answers(); },
          [this](const keyed_entry& entry) { take_intake(entry); }),
      tick_timer_(around.loop),
      decide_timer_(around.loop) {
}

scheduler_node::~scheduler_node() = default;

void scheduler_node::start() {
    around_.network.on_message([this](const std::string& sender, const wire::PeerMessage& message) {
        take_message(sender, message);
    });
    leader_seen_ = around_.loop.now();
    intake_.start([this](const keyed_entry& entry) { take_intake(entry); }, [] {});
    progress_.start([this](const keyed_entry& entry) { take_progress(entry); },
                    [this, began = around_.loop.now(), first = true]() mutable {
                        if (std::exchange(first, false)) {
                            claim_delay_ =
                                std::min((around_.loop.now() - began) * claim_delay_per_answer_time,
                                         most_claim_delay);
                        }
                        consider_claim();
                    });
    tick();
    pings_.start([this] {
        return peer_pings::state{.term = leading() ? term_.get() : 0,
                                 .store_answers = store_answers()};
    });
}

void scheduler_node::tick() {
    tick_timer_.arm(tick_interval, [this] { tick(); });
    if (leading()) {
        forget_ended_jobs();
        decide();
    } else {
        consider_claim();
    }
    if (around_.loop.now() - metrics_updated_ >= metrics_interval) {
        update_metrics();
    }
}

void scheduler_node::take_intake(const keyed_entry& entry) {
    const auto id = book_.apply_intake(entry.record.key, entry.record.value, entry.offset);
    if (id.get().empty() || !leading()) {
        return;
    }
    const auto* job = book_.find(id);
    scheduler_->add(*job, around_.loop.now());
    if (job->cancelled) {
        scheduler_->cancel(id);
    }
    decide_soon();
}

// One decision for everything that comes in one turn of the loop.
void scheduler_node::decide_soon() {
    if (!decide_timer_.armed()) {
        decide_timer_.arm(duration::zero(), [this] { decide(); });
    }
}

void scheduler_node::take_progress(const keyed_entry& entry) {
    if (entry.record.key == leader_key) {
        take_leader(entry);
        return;
    }
    if (guards_.take(entry.record.key, entry.record.value, entry.offset)) {
        return;
    }
    book_.apply_progress(entry.record.key, entry.record.value, entry.offset);
}

void scheduler_node::take_leader(const keyed_entry& entry) {
    wire::WorkloadLeader record;
    if (entry.offset < leader_offset_ || !record.ParseFromString(entry.record.value)) {
        return;
    }
    if (record.scheduler() != leader_) {
        log_event(log_level::info, "leader-changed")
            .field("leader", record.scheduler())
            .field("offset", entry.offset.get());
    }
    leader_ = record.scheduler();
    leader_endpoint_ = record.zmq_endpoint();
    leader_term_ = record.term() > 0 ? record.term() : entry.offset.get() + 1;
    leader_offset_ = entry.offset;
    leader_resigned_ = record.resigned();
    leader_seen_ = around_.loop.now();
}

void scheduler_node::consider_claim() {
    if (leading() || claiming_ || resigning_ || !progress_.caught_up()) {
        return;
    }
    const auto now = around_.loop.now();
    const bool none = leader_.empty() || leader_resigned_ || leader_ == options_.id;
    const bool unable = pings_.store_lost(leader_endpoint_);
    const bool silent = !pings_.leads(leader_endpoint_);
    const auto silence = none || unable ? claim_delay_ : leader_silence + claim_delay_;
    const bool gone = none || unable || silent;
    if (gone && progress_.failures() == 0 && now - leader_seen_ >= silence) {
        claim();
    }
}

keyed_record scheduler_node::leader_record(bool resigned) {
    wire::WorkloadLeader record;
    record.set_scheduler(options_.id);
    record.set_zmq_endpoint(options_.zmq_endpoint);
    record.set_incarnation(options_.life.get());
    record.set_term(leading() ? term_.get() : 0);
    record.set_batch(++batches_);
    record.set_resigned(resigned);
    return {.key = std::string{leader_key}, .value = record.SerializeAsString()};
}

void scheduler_node::claim() {
    claiming_ = true;
    progress_.pause();
    writer_.reset(progress_.next());
    // Zero stands for no leader.
    term_ = log_offset{progress_.next().get() + 1};
    log_event(log_level::info, "lead-claimed")
        .field("expected_end", progress_.next().get())
        .field("previous", leader_)
        .field("silent_ms", to_ms(around_.loop.now() - leader_seen_));
    writer_.write({leader_record(false)}, [this](conditional_writer::outcome how) {
        claiming_ = false;
        if (how == conditional_writer::outcome::stored) {
            lead();
        } else {
            leader_seen_ = around_.loop.now();
            progress_.resume(progress_.next());
        }
    });
}

void scheduler_node::lead() {
    const auto now = around_.loop.now();
    leader_ = options_.id;
    leader_endpoint_ = options_.zmq_endpoint;
    leader_resigned_ = false;
    lead_since_ = now;
    sessions_.begin(term_.get());
    forgotten_.clear();
    scheduler_ = std::make_unique<scheduler>(options_.decisions);
    const auto lease = options_.decisions.lease;
    scheduler_->load(book_, now,
                     now + proof_limit + lease + lease / 25 + options_.decisions.lease_slack);
    log_event(log_level::info, "lead-taken")
        .field("term", term_.get())
        .field("open_jobs", static_cast<std::uint64_t>(scheduler_->open_jobs()));
    guards_.begin(now);
    for (const auto& [host, endpoint] : guards_.endpoints()) {
        around_.network.connect(host, endpoint);
        send_redirect(host);
    }
    pings_.ping();
    decide();
}

bool scheduler_node::store_answers() const {
    if (!intake_.caught_up() || intake_.failures() > 0) {
        return false;
    }
    if (!leading()) {
        return progress_.caught_up() && progress_.failures() == 0;
    }
    return around_.loop.now() - writer_.proved() < proof_interval + slow_append;
}

void scheduler_node::step_down(const std::string& why) {
    log_event(log_level::warning, "lead-lost").field("term", term_.get()).field("reason", why);
    scheduler_.reset();
    decide_timer_.cancel();
    leader_seen_ = around_.loop.now();
    progress_.resume(writer_.end());
}

bool scheduler_node::proved_recently() const {
    return around_.loop.now() - writer_.proved() < proof_limit;
}

bool scheduler_node::settled() const {
    if (around_.loop.now() - lead_since_ >= settling_time) {
        return true;
    }
    return sessions_.all_know(guards_.hosts());
}

const directory* scheduler_node::usable_config() const {
    const auto confirmed = around_.config.confirmed();
    const bool known = confirmed && around_.loop.now() - *confirmed < options_.config_limit;
    return known && proved_recently() && settled() ? around_.config.current() : nullptr;
}

void scheduler_node::decide() {
    if (!leading()) {
        return;
    }
    scheduler_->decide(usable_config(), around_.loop.now(), around_.loop.wall_now());
    log_notes();
    flush();
    auto hosts = scheduler_->take_touched_hosts();
    hosts.merge(std::exchange(answers_due_, {}));
    for (const auto& host : hosts) {
        send_orders(host);
    }
}

void scheduler_node::flush() {
    if (writer_.busy() || !leading()) {
        return;
    }
    const bool proof_due = around_.loop.now() - writer_.proved() >= proof_interval;
    auto batch = scheduler_->take_batch(proof_due);
    const bool nothing = batch.changes.empty() && batch.ends.empty() && forgotten_.empty();
    if (!nothing || proof_due || resigning_) {
        write_batch(std::move(batch));
    }
}

void scheduler_node::write_batch(progress_batch batch) {
    std::vector<keyed_record> records;
    for (const auto& change : batch.changes) {
        records.push_back({.key = std::string{progress_prefix} + change.job.get(),
                           .value = to_wire(change.progress).SerializeAsString()});
    }
    for (const auto& id : std::exchange(forgotten_, {})) {
        records.push_back({.key = std::string{progress_prefix} + id.get(), .value = ""});
    }
    for (auto& record : guards_.take_changes(around_.loop.now())) {
        records.push_back(std::move(record));
    }
    const bool resigns = resigning_;
    records.push_back(leader_record(resigns));
    const auto first = writer_.end();
    writer_.write(records, [this, batch = std::move(batch), records, first,
                            resigns](conditional_writer::outcome how) {
        if (how == conditional_writer::outcome::overtaken) {
            step_down("another scheduler has stored its records first");
            return;
        }
        batch_stored(batch, records, first);
        if (resigns) {
            step_down("this scheduler is stopping");
        } else {
            decide();
        }
    });
}

void scheduler_node::batch_stored(const progress_batch& batch,
                                  const std::vector<keyed_record>& records, log_offset first) {
    std::uint64_t offset = first.get();
    for (const auto& record : records) {
        if (record.key != leader_key) {
            book_.apply_progress(record.key, record.value, log_offset{offset});
        }
        ++offset;
    }
    scheduler_->stored(batch);
}

// Drops ended jobs: the submission first, as a job without progress would run again, and its
// progress with a later batch.
void scheduler_node::forget_ended_jobs() {
    const auto now = around_.loop.now();
    if (now - forgot_at_ < forget_interval || !proved_recently()) {
        return;
    }
    forgot_at_ = now;
    const auto keep = options_.status_retention + forget_margin;
    const auto moment =
        around_.loop.wall_now() - std::chrono::duration_cast<std::chrono::milliseconds>(keep);
    for (const auto& id : book_.ended_before(moment)) {
        if (forgetting_.size() < most_forgetting && forgetting_.insert(id).second) {
            forget(id);
        }
    }
}

void scheduler_node::forget(const job_id& id) {
    const std::vector<keyed_record> records{
        {.key = std::string{submission_prefix} + id.get(), .value = ""},
        {.key = std::string{cancel_prefix} + id.get(), .value = ""}};
    around_.log.append({.topic = intake_topic, .records = records, .expected_end = std::nullopt},
                       [this, id, records,
                        alive = std::weak_ptr<bool>(alive_)](const result<append_reply>& reply) {
                           if (alive.expired()) {
                               return;
                           }
                           forgetting_.erase(id);
                           if (!reply) {
                               return;
                           }
                           auto offset = reply.value().first.get();
                           for (const auto& record : records) {
                               book_.apply_intake(record.key, record.value, log_offset{offset++});
                           }
                           forgotten_.push_back(id);
                       });
}

void scheduler_node::resign() {
    resigning_ = true;
    flush();
}

void scheduler_node::take_message(const std::string& /*sender*/, const wire::PeerMessage& message) {
    if (message.kind_case() == wire::PeerMessage::kWorkloadReport) {
        take_report(message.workload_report());
    } else if (message.kind_case() == wire::PeerMessage::kWorkloadPing) {
        pings_.take(message.workload_ping());
    } else if (message.kind_case() == wire::PeerMessage::kWorkloadIntake) {
        intake_writer_.take(message.workload_intake());
    } else if (message.kind_case() == wire::PeerMessage::kWorkloadIntakeReply) {
        intake_writer_.take(message.workload_intake_reply());
    }
}

void scheduler_node::take_report(const wire::WorkloadReport& message) {
    around_.network.connect(message.host(), message.zmq_endpoint());
    if (!leading()) {
        redirect(message);
        return;
    }
    const auto* report = sessions_.take(message, around_.loop.now());
    if (report == nullptr) {
        return;
    }
    guards_.heard(message.host(), message.zmq_endpoint(), around_.loop.now());
    if (!message.worker().id().empty()) {
        scheduler_->take(*report, around_.loop.now());
    }
    answers_due_.insert(host_id{message.host()});
    decide_soon();
}

void scheduler_node::redirect(const wire::WorkloadReport& message) {
    if (!leader_.empty() && leader_ != options_.id && !leader_resigned_) {
        send_redirect(message.host());
    }
}

void scheduler_node::send_redirect(const std::string& guard) {
    wire::PeerMessage out;
    auto& redirect = *out.mutable_workload_redirect();
    redirect.set_leader(leader_);
    redirect.set_zmq_endpoint(leader_endpoint_);
    redirect.set_term(leading() ? term_.get() : leader_term_);
    around_.network.send(guard, out);
}

void scheduler_node::send_orders(const host_id& host) {
    const auto* report = sessions_.find(host);
    if (report == nullptr || !leading()) {
        return;
    }
    wire::PeerMessage out;
    auto& orders = *out.mutable_workload_orders();
    sessions_.address(host, orders);
    orders.set_scheduler(options_.id);
    orders.set_zmq_endpoint(options_.zmq_endpoint);
    const auto lease = proved_recently() ? options_.decisions.lease : duration::zero();
    orders.set_granted_ms(static_cast<std::uint64_t>(to_ms(lease)));
    to_wire(scheduler_->orders_for(*report), orders);
    around_.network.send(host.get(), out);
}

bool scheduler_node::fresh() const {
    const auto now = around_.loop.now();
    const auto recent = [&](const std::optional<time_point>& moment) {
        return moment && now - *moment < options_.answer_limit + options_.answer_limit / 2;
    };
    const bool progress_known = leading() ? proved_recently() : recent(progress_.confirmed());
    return intake_.caught_up() && recent(intake_.confirmed()) && progress_known;
}

void scheduler_node::log_notes() {
    for (const auto& note : scheduler_->take_notes()) {
        log_event event(log_level::info, note.event);
        event.field("job", note.task.step.job.get());
        if (note.run.get() > 0) {
            event.field("task", to_text(note.task)).field("run", note.run.get());
        }
        if (!note.host.get().empty()) {
            event.field("host", note.host.get());
        }
        if (!note.detail.empty()) {
            event.field("reason", note.detail);
        }
        event.field("term", term_.get());
        if (!proved_recently()) {
            // Another scheduler may lead by now; then nothing of this is stored.
            event.field("proof_age_ms", to_ms(around_.loop.now() - writer_.proved()));
        }
        if (const auto* config = around_.config.current()) {
            event.field("config_version", config->version.get());
        }
    }
}

void scheduler_node::update_metrics() {
    metrics_updated_ = around_.loop.now();
    auto& metrics = around_.metrics;
    metrics.get_gauge("baobabrack_leading", "Whether this scheduler leads").set(leading() ? 1 : 0);
    metrics.get_gauge("baobabrack_jobs", "Jobs that are known")
        .set(static_cast<double>(book_.jobs().size()));
    metrics.get_gauge("baobabrack_records_unreadable", "Stored records that could not be read")
        .set(static_cast<double>(book_.unreadable_records()));
    if (!leading()) {
        return;
    }
    const auto& counts = scheduler_->counts();
    const auto set = [&](const char* event, std::uint64_t value) {
        metrics
            .get_gauge("baobabrack_runs", "Runs by what became of them, under this leader",
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
    metrics.get_gauge("baobabrack_open_jobs", "Jobs that have not ended")
        .set(static_cast<double>(scheduler_->open_jobs()));
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
        static_cast<std::uint64_t>(around_.loop.wall_now().time_since_epoch().count()));
    intake_writer_.write(
        {.key = std::string{cancel_prefix} + id.get(), .value = record.SerializeAsString()},
        deadline, std::move(done));
}

}  // namespace baobabrack::workload
