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

/// One entry of the scheduler. Combines the replicated state, the handling of requests and jobs,
/// and the entry's membership. All input and output goes through the dependencies.
class entry_node : private heartbeat_source {
public:
    /// Another entry that is configured at the start.
    struct peer {
        entry_id id;
        std::string zmq_endpoint;
    };

    struct options {
        entry_id id;
        /// Higher than the incarnation of every earlier process with this id.
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

    /// Services that the entry uses; all of them must outlive the node.
    struct dependencies {
        runtime& loop;
        log_service& log;
        worker_service& workers;
        /// Sends to targets directly, without guards.
        target_service& targets;
        peer_network& network;
        metrics_registry& metrics;
    };

    entry_node(options opts, dependencies deps);
    ~entry_node() override;

    /// Starts reading the log, sending heartbeats and processing jobs and requests.
    void start();

    /// Marks this entry as draining and no longer ready. It still accepts requests from callers
    /// that have not noticed yet.
    void announce_draining();

    /// Refuses new requests, finishes the ones in progress and leaves the list of entries.
    ///
    /// @param done called when the entry has left or leaving has timed out
    void drain(std::function<void()> done);

    /// @return whether callers may use this entry: it has the replicated state and a share of the
    ///         targets' limits, and it is not draining
    bool ready();

    bool draining() const { return draining_; }

    /// Handles an announcement that a target sent directly to this entry.
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
