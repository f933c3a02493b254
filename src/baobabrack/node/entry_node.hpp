#ifndef BAOBABRACK_NODE_ENTRY_NODE_HPP
#define BAOBABRACK_NODE_ENTRY_NODE_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "baobabrack/dispatch/claim_state.hpp"
#include "baobabrack/dispatch/dispatcher.hpp"
#include "baobabrack/gangs/gang_runner.hpp"
#include "baobabrack/gangs/job_state.hpp"
#include "baobabrack/guard/guard_client.hpp"
#include "baobabrack/ledger/log_writer.hpp"
#include "baobabrack/ledger/replica.hpp"
#include "baobabrack/ledger/snapshot_writer.hpp"
#include "baobabrack/ledger/ticket_state.hpp"
#include "baobabrack/membership/entry_set.hpp"
#include "baobabrack/membership/roster.hpp"
#include "baobabrack/membership/target_registry.hpp"
#include "baobabrack/node/entry_membership.hpp"
#include "baobabrack/node/entry_responsibility.hpp"
#include "baobabrack/node/snapshot_transfer.hpp"
#include "baobabrack/node/target_gossip.hpp"
#include "baobabrack/node/ticket_submitter.hpp"
#include "baobabrack/placement/guarantee_planner.hpp"

namespace baobabrack {

class log_service;
class metrics_registry;
class peer_network;
class runtime;
class target_service;
class worker_service;

/// One entry: the replicated state, the decisions on requests and jobs, and its membership, put
/// together. It meets the world only through the interfaces it is given.
class entry_node : private heartbeat_source {
public:
    /// Another entry that is known from the start.
    struct peer {
        entry_id id;
        std::string zmq_endpoint;
    };

    struct options {
        entry_id id;
        /// Higher than that of every earlier process with this id.
        incarnation version;
        location place;
        std::string zmq_endpoint;
        std::vector<peer> peers;
        duration heartbeat_interval = std::chrono::milliseconds{500};
        replica::options reader;
        log_writer::options writer;
        snapshot_writer::options snapshots;
        gang_options gangs;
        dispatcher::options requests;
        guarantee_planner_options planning;
        entry_membership::options membership;
    };

    /// What the entry meets; all of it must outlive the node.
    struct dependencies {
        runtime& loop;
        log_service& log;
        worker_service& workers;
        /// Reaches targets directly, without guards.
        target_service& targets;
        peer_network& network;
        metrics_registry& metrics;
    };

    entry_node(options opts, dependencies deps);
    ~entry_node() override;

    /// Begins to read the log, to send heartbeats and to act.
    void start();

    /// Is not ready from now on, but still takes requests from callers that have not noticed.
    void announce_draining();

    /// Refuses new requests, finishes the ones in progress, leaves the list of entries.
    ///
    /// @param done called once all of that is over
    void drain(std::function<void()> done);

    /// @return whether callers may be sent here: the state is known, the entry has a share of the
    ///         targets' limits, and it does not drain
    bool ready();

    bool draining() const { return draining_; }

    /// Takes in a target's announcement that came directly.
    void handle_target_announcement(const wire::TargetAnnouncement& announcement);

    dispatcher& requests() { return requests_; }
    gang_runner& gangs() { return gangs_; }
    ticket_submitter& submitter() { return submitter_; }
    const ticket_state& tickets() const { return tickets_; }
    const job_state& jobs() const { return jobs_; }
    const target_registry& targets() const { return registry_; }
    const roster& entries() const { return roster_; }
    const guard_client& guards() const { return guards_; }
    const replica& state() const { return replica_; }
    const log_writer& writer() const { return writer_; }
    const guarantee_planner& planning() const { return planner_; }
    const options& settings() const { return options_; }

private:
    void fill(wire::Heartbeat& heartbeat) override;
    bool has_guard(const target_id& target) const;
    void receive(const std::string& sender, const wire::PeerMessage& message);
    void handle_heartbeat(const wire::Heartbeat& heartbeat);
    void handle_guard_hello(const wire::GuardHello& hello);
    void send_policy(const known_guard& guard);
    void handle_applied_batch(const replayed_batch& replayed);
    void tickets_changed();
    void rejoin(incarnation version);
    void sweep();
    void finish_drain(const std::function<void()>& done);

    options options_;
    dependencies deps_;
    ticket_state tickets_;
    job_state jobs_;
    claim_state claims_;
    entry_set entries_;
    replica replica_;
    log_writer writer_;
    target_registry registry_;
    target_gossip gossip_;
    guard_client guards_;
    roster roster_;
    entry_responsibility responsibility_;
    entry_membership membership_;
    snapshot_writer snapshot_writer_;
    snapshot_transfer snapshot_transfer_;
    ticket_submitter submitter_;
    guarantee_planner planner_;
    dispatcher requests_;
    gang_runner gangs_;
    scoped_timer sweep_timer_;
    scoped_timer drain_timer_;
    bool draining_ = false;
};

}  // namespace baobabrack

#endif
