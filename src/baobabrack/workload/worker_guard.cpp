#include "baobabrack/workload/worker_guard.hpp"

#include <algorithm>
#include <utility>

#include "baobabrack/observe/json_log.hpp"
#include "baobabrack/workload/report_codec.hpp"

namespace baobabrack::workload {

namespace {

using namespace std::chrono_literals;

// Three reports fit into the time after which a scheduler takes a host for silent.
constexpr duration beat_interval = 500ms;
// Without orders for this long the leader is looked for at every seed.
constexpr duration leader_silence = 1200ms;
constexpr duration hold_wait = 500ms;
// After a hold got no answer the next ones wait less, so that another loss is noticed sooner.
constexpr duration short_hold_wait = 150ms;
constexpr duration loss_memory = 5s;
// The worker is on this host and answers an order within some milliseconds. The other runs of a
// gang wait for the ones whose starts got lost, so these are noticed soon.
constexpr duration order_timeout = 250ms;
// A start that is proved not to have happened is tried this often before the leader is told.
constexpr unsigned most_start_tries = 4;
// A worker that has not answered a hold for this long is taken not to answer.
constexpr duration worker_silence = 1200ms;
constexpr duration hold_retry = 200ms;
constexpr duration stop_retry = 400ms;
// Steps of the token: past an unanswered call, and past a token that someone else used.
constexpr std::uint64_t next_token = 1;
constexpr std::uint64_t token_jump = 1U << 13U;

std::int64_t to_ms(duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}  // namespace

std::string_view to_string(call_end end) {
    switch (end) {
        case call_end::accepted:
            return "accepted";
        case call_end::fenced:
            return "fenced";
        case call_end::outdated:
            return "outdated";
        case call_end::late:
            return "late";
        case call_end::no_room:
            return "no_room";
        case call_end::unavailable:
            return "unavailable";
        case call_end::rejected:
            return "rejected";
        case call_end::other_worker:
            return "other_worker";
        case call_end::unanswered:
            return "unanswered";
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
      beat_timer_(loop),
      report_timer_(loop),
      hold_timer_(loop) {
}

void worker_guard::start() {
    network_.on_message([this](const std::string& /*sender*/, const wire::PeerMessage& message) {
        take_message(message);
    });
    beat();
}

void worker_guard::set_seeds(std::vector<std::string> seeds) {
    options_.seeds = std::move(seeds);
}

void worker_guard::beat() {
    beat_timer_.arm(beat_interval, [this] { beat(); });
    send_report();
}

bool worker_guard::announce(const worker_announcement& announcement) {
    const auto& life = announcement.facts.life;
    const bool known = facts_ && facts_->life == life;
    // An announcement that was held up may name a life that is over. One that seems older is
    // believed only when the known one is silent, as the host's clock may have been set back.
    if (facts_ && !known && life.version < facts_->life.version && !lease_.suspended()) {
        return false;
    }
    if (known && announcement.sequence <= announced_) {
        return false;
    }
    if (!known) {
        const bool first = !facts_;
        forget_worker();
        lists_at_ = loop_.now();
        // An earlier guard may have extended the lease of the worker that this one finds.
        lease_.begin(first ? loop_.now() + options_.most_lease : time_point{});
        log_event(log_level::info, "worker-announced")
            .field("worker", life.worker.get())
            .field("incarnation", life.version.get());
    }
    const bool drains = announcement.facts.draining && (!known || !facts_->draining);
    facts_ = announcement.facts;
    announced_ = announcement.sequence;
    if (!lease_.knows_clock()) {
        take_clock({.end = call_end::accepted, .clock = announcement.clock});
    }
    if (drains) {
        log_event(log_level::info, "worker-draining").field("worker", life.worker.get());
    }
    if (!known || drains) {
        report();
        hold_soon();
    }
    return true;
}

void worker_guard::leave(const worker_id& worker) {
    if (!facts_ || facts_->life.worker != worker) {
        return;
    }
    log_event(log_level::info, "worker-left").field("worker", worker.get());
    facts_->draining = true;
    report();
}

// Nothing that was known of an earlier life holds for the one that runs now.
void worker_guard::forget_worker() {
    runs_.clear();
    stops_sent_.clear();
    stops_missed_.clear();
    ends_stored_ = 0;
    hold_taken_ = holds_sent_;
    hold_open_ = false;
}

void worker_guard::report() {
    if (!report_timer_.armed()) {
        report_timer_.arm(duration::zero(), [this] { send_report(); });
    }
}

void worker_guard::send_report() {
    report_timer_.cancel();
    worker_report lists;
    lists.facts.life.host = options_.host;
    if (facts_) {
        lists.facts = *facts_;
        watch_worker();
        lists.lease_suspended = lease_.suspended();
        lists.lease_left = lease_.left(loop_.now());
        lists.lists_age = loop_.now() - lists_at_;
        runs_.tell(lists, reports_sent_ + 1);
    }
    wire::PeerMessage out;
    auto& message = *out.mutable_workload_report();
    to_wire(lists, message);
    message.set_guard_incarnation(options_.life.get());
    message.set_zmq_endpoint(options_.zmq_endpoint);
    message.set_term(term_);
    message.set_sequence(++reports_sent_);
    message.set_sent_at_us(static_cast<std::uint64_t>(loop_.now().time_since_epoch().count()));
    std::set<std::string> receivers;
    if (!leader_endpoint_.empty()) {
        receivers.insert(leader_endpoint_);
    }
    if (leader_endpoint_.empty() || loop_.now() - orders_at_ > leader_silence) {
        receivers.insert(options_.seeds.begin(), options_.seeds.end());
    }
    for (const auto& endpoint : receivers) {
        network_.connect(endpoint, endpoint);
        network_.send(endpoint, out);
    }
}

void worker_guard::take_message(const wire::PeerMessage& message) {
    if (message.kind_case() == wire::PeerMessage::kWorkloadOrders) {
        take_orders(message.workload_orders());
    } else if (message.kind_case() == wire::PeerMessage::kWorkloadRedirect) {
        const auto& endpoint = message.workload_redirect().zmq_endpoint();
        const bool silent = loop_.now() - orders_at_ > leader_silence;
        const bool newer = message.workload_redirect().term() > term_;
        if (endpoint != leader_endpoint_ && (newer || silent || leader_endpoint_.empty())) {
            leader_endpoint_ = endpoint;
            report();
        }
    }
}

void worker_guard::take_orders(const wire::WorkloadOrders& message) {
    if (message.guard_incarnation() != options_.life.get() || message.term() < term_) {
        return;
    }
    if (message.term() > term_) {
        follow(message);
    }
    if (message.sequence() <= orders_seen_) {
        return;
    }
    orders_seen_ = message.sequence();
    leader_endpoint_ = message.zmq_endpoint();
    // A leader that may not extend leases has lost the store, and another one may lead by now.
    if (message.granted_ms() > 0) {
        orders_at_ = loop_.now();
    }
    const time_point sent{duration{static_cast<std::int64_t>(message.report_sent_at_us())}};
    const auto lease = std::chrono::milliseconds{static_cast<std::int64_t>(message.granted_ms())};
    if (message.granted_ms() > 0) {
        lease_.grant(sent + lease);
    }
    runs_.answered(message.report_sequence());
    lease_.answered(message.report_sequence());
    const auto orders = from_wire(options_.host, message);
    if (!facts_ || orders.worker != facts_->life) {
        return;
    }
    ends_stored_ = std::max(ends_stored_, orders.ends_stored);
    for (const auto& run : orders.stops) {
        order_stop(run);
    }
    for (const auto& run : orders.starts) {
        order_start(run);
    }
    hold_soon();
}

void worker_guard::follow(const wire::WorkloadOrders& message) {
    log_event(log_level::info, "leader-followed")
        .field("leader", message.scheduler())
        .field("term", message.term())
        .field("previous_term", term_);
    term_ = message.term();
    orders_seen_ = 0;
    token_ = fencing_token{std::max(token_.get() + next_token, message.token_base())};
    // The new leader needs lists from after every call that an earlier one has caused.
    runs_.distrust_lists();
    hold_taken_ = holds_sent_;
    hold_open_ = false;
}

void worker_guard::order_start(const wanted_run& run) {
    const run_key key{run.task, run.run};
    if (!runs_.lists_known() || !runs_.unheard_of(key)) {
        return;
    }
    if (facts_->draining) {
        refuse(key, "the worker is draining");
        return;
    }
    if (!runs_.fits(run.needs, facts_->capacity)) {
        refuse(key, "no room beside the runs that this guard has started");
        return;
    }
    start(run, 1);
}

// Sends a start if the lease can be extended for it.
bool worker_guard::start(const wanted_run& run, unsigned tries) {
    const auto until = lease_.extend(loop_.now());
    if (!until) {
        return false;
    }
    const run_key key{run.task, run.run};
    runs_.begin(run, tries);
    log_event(log_level::info, "run-starting")
        .field("job", run.task.step.job.get())
        .field("task", to_text(run.task))
        .field("run", run.run.get())
        .field("try", tries)
        .field("term", term_)
        .field("token", token_.get());
    worker_.start({.worker = facts_->life,
                   .run = run,
                   .token = token_,
                   .lease = *until,
                   .timeout = order_timeout},
                  [this, key, life = facts_->life](const call_reply& reply) {
                      start_answered(key, life, reply);
                  });
    return true;
}

// A start that has not happened is sent again under the newest token, which the lost one is below.
void worker_guard::start_again(const guarded_runs::missed_start& start_call,
                               const std::string& reason) {
    const run_key key{start_call.run.task, start_call.run.run};
    const bool wanted = !stops_sent_.contains(key) && !facts_->draining;
    if (!wanted || start_call.tries >= most_start_tries ||
        !start(start_call.run, start_call.tries + 1)) {
        refuse(key, reason);
    }
}

void worker_guard::start_answered(const run_key& key, const worker_instance& life,
                                  const call_reply& reply) {
    if (!facts_ || facts_->life != life || !runs_.awaits(key)) {
        return;
    }
    take_clock(reply);
    log_event(reply.end == call_end::accepted ? log_level::info : log_level::warning,
              "start-answered")
        .field("job", key.first.step.job.get())
        .field("task", to_text(key.first))
        .field("run", key.second.get())
        .field("outcome", to_string(reply.end));
    metrics_
        .get_counter("baobabrack_worker_starts_total", "Starts by how the worker answered",
                     {{"outcome", std::string{to_string(reply.end)}}})
        .add();
    switch (reply.end) {
        case call_end::accepted:
            runs_.settle(key, holds_sent_ + 1);
            break;
        case call_end::unanswered:
            raise_token(next_token);
            runs_.settle(key, holds_sent_ + 1);
            hold_open_ = false;
            hold_soon();
            break;
        case call_end::fenced:
            if (const auto missed = runs_.take_back(key)) {
                raise_token(next_token);
                start_again(*missed, std::string{to_string(reply.end)});
            }
            break;
        default:
            refuse(key, std::string{to_string(reply.end)});
            break;
    }
    report();
}

void worker_guard::order_stop(const unwanted_run& run) {
    const run_key key{run.task, run.run};
    if (!runs_.has(key)) {
        if (runs_.lists_known() && !runs_.ended(key)) {
            refuse(key, "it was never started");
        }
        return;
    }
    auto& sent = stops_sent_[key];
    if (sent != time_point{} && loop_.now() - sent < stop_retry) {
        return;
    }
    sent = loop_.now();
    log_event(log_level::info, "run-stopping")
        .field("job", run.task.step.job.get())
        .field("task", to_text(run.task))
        .field("run", run.run.get())
        .field("term", term_);
    worker_.stop({.worker = facts_->life, .run = run, .token = token_, .timeout = order_timeout},
                 [this, run, life = facts_->life](const call_reply& reply) {
                     stop_answered(run, life, reply);
                 });
}

void worker_guard::stop_answered(const unwanted_run& run, const worker_instance& life,
                                 const call_reply& reply) {
    if (!facts_ || facts_->life != life) {
        return;
    }
    take_clock(reply);
    const bool missed = reply.end == call_end::unanswered || reply.end == call_end::fenced;
    const run_key key{run.task, run.run};
    if (!missed || !runs_.has(key)) {
        return;
    }
    if (reply.end == call_end::fenced) {
        raise_token(next_token);
    }
    stops_missed_.insert(key);
}

void worker_guard::refuse(const run_key& key, const std::string& reason) {
    log_event(log_level::warning, "start-refused")
        .field("job", key.first.step.job.get())
        .field("task", to_text(key.first))
        .field("run", key.second.get())
        .field("reason", reason);
    runs_.refuse(key, reason);
    report();
}

void worker_guard::raise_token(std::uint64_t by) {
    token_ = fencing_token{token_.get() + by};
}

// Another life of the worker has another clock.
void worker_guard::take_clock(const call_reply& reply) {
    if (reply.clock && reply.end != call_end::other_worker) {
        lease_.take_clock(*reply.clock, loop_.now());
    }
}

void worker_guard::watch_worker() {
    const bool silent = loop_.now() - lists_at_ > worker_silence;
    if (silent && !lease_.suspended()) {
        log_event(log_level::warning, "worker-lost")
            .field("worker", facts_->life.worker.get())
            .field("lists_age_ms", to_ms(loop_.now() - lists_at_))
            .field("lease_left_ms", to_ms(lease_.left(loop_.now())));
        lease_.suspend();
    }
}

void worker_guard::hold_soon() {
    hold_timer_.arm(duration::zero(), [this] { hold(); });
}

void worker_guard::hold() {
    if (!facts_ || term_ == 0 || hold_open_) {
        return;
    }
    const auto number = ++holds_sent_;
    hold_open_ = true;
    open_hold_ = number;
    hold_sent_at_ = loop_.now();
    watch_worker();
    const bool lossy = hold_lost_at_ != time_point{} && loop_.now() - hold_lost_at_ < loss_memory;
    const auto usual_wait = lossy ? short_hold_wait : hold_wait;
    const auto wait = runs_.lists_known() ? usual_wait : duration::zero();
    worker_.hold({.worker = facts_->life,
                  .token = token_,
                  .ends_seen = ends_stored_,
                  .lease = lease_.extend(loop_.now()),
                  .wait = wait,
                  .timeout = wait + order_timeout},
                 [this, number, life = facts_->life](const hold_reply& reply) {
                     hold_answered(number, life, reply);
                 });
}

void worker_guard::hold_answered(std::uint64_t number, const worker_instance& life,
                                 const hold_reply& reply) {
    if (!facts_ || facts_->life != life || number <= hold_taken_) {
        return;
    }
    take_clock(reply.reply);
    const bool newest = number == open_hold_;
    hold_open_ = hold_open_ && !newest;
    if (!newest && reply.reply.end != call_end::accepted) {
        return;
    }
    switch (reply.reply.end) {
        case call_end::accepted:
            hold_taken_ = number;
            take_lists(number, reply);
            hold_soon();
            return;
        case call_end::fenced:
            raise_token(token_jump);
            hold_soon();
            return;
        case call_end::unanswered:
            raise_token(next_token);
            hold_lost_at_ = loop_.now();
            break;
        default:
            break;
    }
    if (!hold_timer_.armed()) {
        const auto spent = loop_.now() - hold_sent_at_;
        hold_timer_.arm(std::max(duration::zero(), hold_retry - spent), [this] { hold(); });
    }
}

void worker_guard::take_lists(std::uint64_t number, const hold_reply& reply) {
    lists_at_ = std::max(lists_at_, hold_sent_at_);
    if (lease_.suspended()) {
        log_event(log_level::info, "worker-regained").field("worker", facts_->life.worker.get());
        lease_.resume(reports_sent_ + 1);
        report();
    }
    const auto changes = runs_.take(number, reply.lists, ends_stored_);
    for (const auto& missed : changes.missed) {
        start_again(missed, "the worker does not have it, and the token is past its start");
    }
    std::erase_if(stops_sent_, [&](const auto& one) { return !runs_.has(one.first); });
    // The worker answers, so what it did not answer is worth another try.
    for (const auto& [task, run] : std::exchange(stops_missed_, {})) {
        stops_sent_[{task, run}] = {};
        order_stop({.task = task, .run = run});
    }
    if (changes.news) {
        report();
    }
}

}  // namespace baobabrack::workload
