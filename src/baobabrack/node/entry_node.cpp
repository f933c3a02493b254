#include "baobabrack/node/entry_node.hpp"

#include <utility>

#include "baobabrack/metrics/registry.hpp"

namespace baobabrack {

namespace {

using namespace std::chrono_literals;

constexpr duration sweep_interval = 250ms;
constexpr duration drain_check_interval = 20ms;

entry_node::options with_derived_options(entry_node::options opts) {
    opts.writer.writer = opts.id;
    opts.writer.version = opts.version;
    opts.snapshots.writer = opts.id;
    opts.snapshots.version = opts.version;
    opts.requests.self = opts.id;
    opts.requests.version = opts.version;
    opts.requests.place = opts.place;
    opts.membership.self = opts.id;
    opts.membership.version = opts.version;
    opts.membership.place = opts.place;
    opts.membership.zmq_endpoint = opts.zmq_endpoint;
    return opts;
}

}  // namespace

entry_node::entry_node(options opts, dependencies deps)
    : options_(with_derived_options(std::move(opts))),
      deps_(deps),
      tickets_({}),
      jobs_({}),
      replica_(deps.loop, deps.log, options_.reader, {&tickets_, &jobs_, &claims_, &entries_}),
      writer_(deps.loop, deps.log, replica_, options_.writer),
      registry_({}),
      guards_({.self = options_.id,
               .version = options_.version,
               .requires_guard = [this](const target_id& target) { return has_guard(target); }},
              deps.loop, deps.network, deps.targets),
      roster_({.self = options_.id,
               .version = options_.version,
               .place = options_.place,
               .heartbeat_interval = options_.heartbeat_interval},
              deps.loop, deps.network, *this),
      responsibility_(roster_, entries_, jobs_, replica_, options_.version),
      membership_(options_.membership, deps.loop, entries_, roster_, deps.network, writer_),
      snapshot_writer_(deps.loop, replica_, writer_, options_.snapshots),
      snapshot_transfer_({}, deps.loop, replica_, roster_, deps.network),
      submitter_(tickets_, jobs_, writer_),
      planner_(options_.planning, jobs_.workers(), tickets_.in_force()),
      requests_({.loop = deps.loop,
                 .tickets = tickets_.in_force(),
                 .registry = registry_,
                 .claims = claims_,
                 .entries = entries_,
                 .log = writer_,
                 .targets = guards_,
                 .metrics = deps.metrics},
                options_.requests),
      gangs_(gang_context{.state = jobs_,
                          .planning = planner_,
                          .workers = deps.workers,
                          .records = writer_,
                          .loop = deps.loop,
                          .duty = responsibility_,
                          .metrics = deps.metrics,
                          .options = options_.gangs}),
      sweep_timer_(deps.loop),
      drain_timer_(deps.loop) {
    deps.network.on_message([this](const std::string& sender, const wire::PeerMessage& message) {
        receive(sender, message);
    });
    replica_.on_applied([this](const replayed_batch& replayed) { handle_applied_batch(replayed); });
    replica_.on_reset([this] { tickets_changed(); });
    membership_.on_rejoin([this](incarnation version) { rejoin(version); });
}

entry_node::~entry_node() {
    deps_.network.on_message({});
}

void entry_node::start() {
    for (const auto& known_peer : options_.peers) {
        deps_.network.connect(known_peer.id.get(), known_peer.zmq_endpoint);
        roster_.add_peer(known_peer.id);
    }
    replica_.start();
    roster_.start();
    membership_.start();
    snapshot_writer_.start();
    snapshot_transfer_.start();
    sweep();
}

bool entry_node::ready() {
    return replica_.ready() && !draining_ && requests_.ready();
}

void entry_node::handle_target_announcement(const wire::TargetAnnouncement& announcement) {
    if (!registry_.handle_announcement(announcement, deps_.loop.now())) {
        return;
    }
    gossip_.add(announcement);
    requests_.refresh();
}

bool entry_node::has_guard(const target_id& target) const {
    const auto* known = registry_.find(target);
    return known != nullptr && !known->facts.guard_endpoint().empty();
}

void entry_node::fill(wire::Heartbeat& heartbeat) {
    heartbeat.set_zmq_endpoint(options_.zmq_endpoint);
    heartbeat.set_next_offset(replica_.next_offset().get());
    heartbeat.set_ticket_in_force(tickets_.in_force().highest().get());
    gossip_.move_to(*heartbeat.mutable_targets());
}

void entry_node::receive(const std::string& sender, const wire::PeerMessage& message) {
    switch (message.kind_case()) {
        case wire::PeerMessage::kHeartbeat:
            handle_heartbeat(message.heartbeat());
            return;
        case wire::PeerMessage::kGuardHello:
            handle_guard_hello(message.guard_hello());
            return;
        case wire::PeerMessage::kGuardReply:
            guards_.handle_reply(message.guard_reply());
            return;
        case wire::PeerMessage::kGuardFenceReply:
            guards_.handle_fence_reply(message.guard_fence_reply());
            return;
        case wire::PeerMessage::kSnapshotRequest:
            snapshot_transfer_.send_snapshot(sender);
            return;
        case wire::PeerMessage::kSnapshotReply:
            snapshot_transfer_.handle_chunk(sender, message.snapshot_reply());
            return;
        default:
            deps_.metrics
                .get_counter("baobabrack_unexpected_messages_total",
                             "Peer messages of a kind that entries do not take.")
                .add();
    }
}

void entry_node::handle_heartbeat(const wire::Heartbeat& heartbeat) {
    if (!roster_.handle_heartbeat(heartbeat)) {
        return;
    }
    // While the log is unavailable, the list of entries does not grow, and a new entry is
    // discovered only by its heartbeat.
    deps_.network.connect(heartbeat.entry(), heartbeat.zmq_endpoint());
    roster_.add_peer(entry_id{heartbeat.entry()});
    requests_.heard(entry_id{heartbeat.entry()}, incarnation{heartbeat.incarnation()},
                    log_offset{heartbeat.next_offset()});
    if (heartbeat.next_offset() > replica_.next_offset().get()) {
        replica_.wake();
    }
    bool changed = false;
    for (const auto& announcement : heartbeat.targets()) {
        changed = registry_.handle_announcement(announcement, deps_.loop.now()) || changed;
    }
    if (changed) {
        requests_.refresh();
    }
}

void entry_node::handle_guard_hello(const wire::GuardHello& hello) {
    guards_.handle_hello(hello);
    const auto* guard = guards_.find(target_id{hello.target()});
    if (guard != nullptr && guard->ticket_in_force < tickets_.in_force().highest()) {
        send_policy(*guard);
    }
}

void entry_node::send_policy(const known_guard& guard) {
    const auto* target = registry_.find(guard.target);
    if (target == nullptr) {
        return;
    }
    const auto* service = tickets_.in_force().find_service(service_id{target->facts.service()});
    if (service == nullptr) {
        return;
    }
    wire::PeerMessage message;
    auto& policy = *message.mutable_guard_policy();
    policy.set_ticket(tickets_.in_force().highest().get());
    policy.set_slots(service->slots_per_target());
    policy.set_connections(service->connections_per_target());
    deps_.network.send(guard.id, message);
}

void entry_node::handle_applied_batch(const replayed_batch& replayed) {
    membership_.record_append(entry_id{replayed.batch.writer()});
    bool has_ticket = false;
    for (const auto& record : replayed.batch.records()) {
        has_ticket = has_ticket || record.has_ticket_accepted();
    }
    if (has_ticket) {
        tickets_changed();
    }
}

void entry_node::tickets_changed() {
    gangs_.directory_changed();
    requests_.refresh();
    for (const auto& [target, guard] : guards_.guards()) {
        send_policy(guard);
    }
}

void entry_node::rejoin(incarnation version) {
    options_.version = version;
    roster_.rejoined(version);
    responsibility_.rejoined(version);
    requests_.rejoined(version);
}

void entry_node::sweep() {
    const auto now = deps_.loop.now();
    registry_.expire(now);
    if (!replica_.healthy()) {
        membership_.restart_observation();
    }
    if (replica_.phase() == replica_phase::following) {
        requests_.log_seen(now - replica_.since_last_read());
    }
    requests_.refresh();
    sweep_timer_.arm(sweep_interval, [this] { sweep(); });
}

void entry_node::announce_draining() {
    draining_ = true;
    roster_.set_draining();
    roster_.send_heartbeats();
}

void entry_node::drain(std::function<void()> done) {
    announce_draining();
    requests_.begin_drain();
    finish_drain(done);
}

void entry_node::finish_drain(const std::function<void()>& done) {
    if (requests_.drained()) {
        membership_.leave(done);
        return;
    }
    drain_timer_.arm(drain_check_interval, [this, done] { finish_drain(done); });
}

}  // namespace baobabrack
