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

/// Maintains the list of entries in the log: adds this entry, removes silent entries, and connects
/// to every listed entry. An entry is silent only if neither heartbeats nor appends of it arrive,
/// so entries that lose contact with each other but not with the log stay on the list. An entry
/// that was removed while it was alive joins again with a higher incarnation.
class entry_membership {
public:
    struct options {
        entry_id self;
        incarnation version;
        location place;
        std::string zmq_endpoint;
        duration check_interval = std::chrono::seconds{1};
        /// A listed entry is removed after it has been silent for this long.
        duration removal_timeout = std::chrono::seconds{30};
        duration append_timeout = std::chrono::seconds{2};
        /// An entry that has appended nothing for this long appends a keepalive record.
        duration keepalive_interval = std::chrono::seconds{10};
    };

    entry_membership(options opts, runtime& loop, entry_set& entries, roster& peers,
                     peer_network& network, proposer& records);

    /// Starts checking the list periodically.
    void start();

    /// Records that an entry has appended a batch to the log, which shows that it is alive.
    void record_append(const entry_id& writer) { last_append_[writer] = loop_.now(); }

    /// Restarts the observation of other entries, because appends of live entries may have gone
    /// unnoticed, for example while the log could not be read.
    void restart_observation() { observing_since_ = loop_.now(); }

    /// Removes this entry from the list permanently.
    ///
    /// @param done called when the removal is in the log or the append timeout has passed
    void leave(std::function<void()> done);

    /// @return whether this incarnation was removed from the list or superseded by a higher one
    bool was_removed() const;

    /// Sets the callback for when this entry joins again with a higher incarnation.
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
