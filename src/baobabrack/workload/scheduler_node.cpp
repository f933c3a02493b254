#include "baobabrack/workload/scheduler_node.hpp"

#include <algorithm>
#include <utility>

#include "baobabrack/observe/json_log.hpp"
#include "baobabrack/workload/evacuation_view.hpp"
#include "baobabrack/workload/scheduler_node_limits.hpp"

namespace baobabrack::workload {

namespace {

using namespace std::chrono_literals;
constexpr duration tick_interval = 100ms;
// Metrics are scraped every few seconds.
constexpr duration metrics_interval = 1s;
// A scheduler far from the store decides slowly, so it waits longer before it claims leadership.
constexpr int claim_delay_per_response_time = 2;
constexpr duration max_claim_delay = 150ms;
// A new leader places no runs before all guards have reported, or for this long: it would preempt
// runs on the few hosts that it knows although others are idle.
constexpr duration initial_report_timeout = 250ms;

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
    if (entry.record.key == workspaces_key) {
        apply_workspaces(entry);
        return;
    }
    if (guards_.apply(entry.record.key, entry.record.value, entry.offset)) {
        if (const auto* endpoint = guards_.find_endpoint(entry.record.key)) {
            deps_.network.expect(*endpoint);
        }
        return;
    }
    jobs_.apply_progress(entry.record.key, entry.record.value, entry.offset);
}

// The leader's record goes before what this scheduler has derived from the versions that it saw.
void scheduler_node::apply_workspaces(const keyed_entry& entry) {
    const bool known = workspaces_offset_ && entry.offset <= *workspaces_offset_;
    if (known || entry.record.value.empty()) {
        return;
    }
    workspaces_offset_ = entry.offset;
    if (!workspaces_.load(entry.record.value)) {
        log_event(log_level::error, "workspaces-unreadable").field("offset", entry.offset.get());
        return;
    }
    stored_workspaces_revision_ = workspaces_.revision();
}

const workspace_registry& scheduler_node::workspaces() {
    const auto* config = deps_.config.current();
    if (config == nullptr || !progress_.caught_up()) {
        return workspaces_;
    }
    for (const auto& change : workspaces_.update(*config)) {
        log_event(log_level::info, change.name.get().empty()          ? "workspace-removed"
                                   : change.former_name.get().empty() ? "workspace-added"
                                                                      : "workspace-renamed")
            .field("workspace", change.name.get())
            .field("former_name", change.former_name.get())
            .field("identity", change.identity.get())
            .field("config_version", config->version.get());
    }
    return workspaces_;
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

bool scheduler_node::guards_reported() const {
    if (deps_.loop.now() - leader_since_ >= initial_report_timeout) {
        return true;
    }
    return sessions_.all_lists_known(guards_.hosts());
}

// Returns whether the evacuated data centres were confirmed recently enough to start runs.
bool scheduler_node::evacuations_recent() const {
    const auto max_age = max_evacuation_age(options_.evacuation_bound);
    const auto confirmed = deps_.config.confirmed();
    return !max_age || (confirmed && deps_.loop.now() - *confirmed < *max_age);
}

const workload_config* scheduler_node::usable_config() const {
    const auto confirmed = deps_.config.confirmed();
    const bool config_recent = confirmed && deps_.loop.now() - *confirmed < options_.max_config_age;
    const bool may_place = config_recent && evacuations_recent() && leadership_confirmed();
    return may_place && guards_reported() ? deps_.config.current() : nullptr;
}

void scheduler_node::decide() {
    if (!is_leader()) {
        return;
    }
    scheduler_->set_evacuated(deps_.config.evacuated());
    scheduler_->update_owners(workspaces());
    scheduler_->decide(usable_config(), deps_.loop.now(), deps_.loop.wall_now());
    log_decisions();
    flush();
    auto hosts = scheduler_->drain_changed_hosts();
    hosts.merge(std::exchange(replies_due_, {}));
    for (const auto& host : hosts) {
        send_orders(host);
    }
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
