#ifndef BAOBABRACK_NODE_ENTRY_MEMBERSHIP_HPP
#define BAOBABRACK_NODE_ENTRY_MEMBERSHIP_HPP

#include <functional>
#include <map>
#include <string>

#include "baobabrack/ledger/proposer.hpp"
#include "baobabrack/membership/entry_set.hpp"
#include "baobabrack/membership/peer_network.hpp"
#include "baobabrack/membership/roster.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"

namespace baobabrack {

/// Keeps the log's list of entries true: puts this entry on it, takes silent ones off, and makes
/// every listed entry a peer. An entry is silent only if neither its heartbeats nor its appends
/// come, so that entries which lose each other but not the log stay on the list. An entry that was
/// taken off while it was alive joins anew under a higher incarnation.
class entry_membership {
public:
    struct options {
        entry_id self;
        incarnation version;
        location place;
        std::string zmq_endpoint;
        duration check_interval = std::chrono::seconds{1};
        /// A listed entry that has been silent for this long is taken off the list.
        duration removal_timeout = std::chrono::seconds{30};
        duration append_timeout = std::chrono::seconds{2};
        /// An entry that has appended nothing for this long appends a sign of life.
        duration keepalive_interval = std::chrono::seconds{10};
    };

    entry_membership(options opts, runtime& loop, entry_set& listed, roster& live,
                     peer_network& network, proposer& records);

    /// Begins to check the list.
    void start();

    /// An entry has appended a batch to the log, so that it is alive.
    void record_append(const entry_id& writer) { last_append_[writer] = loop_.now(); }

    /// The log cannot be read, or could not until now: others may be alive and unheard.
    void restart_observation() { observing_since_ = loop_.now(); }

    /// Takes this entry off the list for good.
    ///
    /// @param done called when that is in the log or the patience is over
    void leave(std::function<void()> done);

    /// @return whether this incarnation was taken off the list by others
    bool was_removed() const;

    /// Sets what is told that this entry joins anew under a higher incarnation.
    void on_rejoin(std::function<void(incarnation)> notify) { on_rejoin_ = std::move(notify); }

private:
    void check();
    void join();
    void append_keepalive();
    bool has_recent_append(const entry_id& entry) const;
    void rejoin();
    void connect_peers();
    void remove_silent_entries();
    bool is_silent(const entry_id& entry, incarnation version) const;

    options options_;
    runtime& loop_;
    entry_set& entry_set_;
    roster& roster_;
    peer_network& network_;
    proposer& records_;
    scoped_timer check_timer_;
    time_point observing_since_{};
    std::map<entry_id, time_point> last_append_;
    std::function<void(incarnation)> on_rejoin_;
    bool joining_ = false;
    bool leaving_ = false;
};

}  // namespace baobabrack

#endif
