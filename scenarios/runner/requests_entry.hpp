#ifndef BAOBABRACK_RUNNER_REQUESTS_ENTRY_HPP
#define BAOBABRACK_RUNNER_REQUESTS_ENTRY_HPP

#include <memory>
#include <string>

#include "baobabrack/dispatch/dispatcher.hpp"
#include "fakes/fake_targets.hpp"
#include "runner/requests_log.hpp"

namespace baobabrack::scenario {

/// One entry process of the random requests runs: its replica, its dispatcher and its view of the
/// targets.
class requests_entry {
public:
    requests_entry(runtime& loop, requests_log& log, fakes::fake_targets& targets,
                   const directory& tickets, dispatcher::options opts);

    /// Puts its EntryJoined into the log.
    void join();

    /// Puts another entry's undrained EntryLeft into the log.
    void remove(const entry_id& other, incarnation version);

    /// Reads the log; leaves it once it has drained.
    void tick();

    void begin_drain();
    bool left() const { return left_; }

    /// @return whether the log shows this incarnation as joined
    bool joined() const { return entries_.is_joined(options_.self, options_.version); }

    /// @return whether it takes requests and has a share of the targets
    bool ready() { return !draining_ && dispatcher_->ready(); }

    /// @return whether the log showed this incarnation as joined and does so no more
    bool was_removed() const { return was_joined_ && !joined() && !leaving_; }

    dispatcher& requests() { return *dispatcher_; }
    requests_replica& replica() { return replica_; }
    target_registry& registry() { return registry_; }
    const entry_id& id() const { return options_.self; }
    incarnation version() const { return options_.version; }

    /// While parted from its peers, no heartbeat goes in or out.
    bool parted_from_peers = false;

private:
    void propose(wire::Record record, std::function<void(bool)> done);

    runtime& loop_;
    dispatcher::options options_;
    claim_state claims_;
    entry_set entries_;
    target_registry registry_{{.silence_limit = std::chrono::hours{1}}};
    requests_replica replica_;
    fakes::fake_target_link link_;
    metrics_registry metrics_;
    std::unique_ptr<dispatcher> dispatcher_;
    bool draining_ = false;
    bool was_joined_ = false;
    bool leaving_ = false;
    bool left_ = false;
};

}  // namespace baobabrack::scenario

#endif
