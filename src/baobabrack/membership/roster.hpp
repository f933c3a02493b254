#ifndef BAOBABRACK_MEMBERSHIP_ROSTER_HPP
#define BAOBABRACK_MEMBERSHIP_ROSTER_HPP

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/membership/peer_network.hpp"
#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/world/fleet.hpp"

namespace baobabrack {

/// Provides the state of the sender that its heartbeats carry.
class heartbeat_source {
public:
    heartbeat_source() = default;
    heartbeat_source(const heartbeat_source&) = delete;
    heartbeat_source& operator=(const heartbeat_source&) = delete;
    virtual ~heartbeat_source() = default;

    virtual void fill(wire::Heartbeat& heartbeat) = 0;
};

/// State of another entry according to its newest heartbeat.
struct known_entry {
    entry_id id;
    incarnation version;
    location place;
    std::uint64_t sequence = 0;
    log_offset next_offset;
    ticket_number ticket_in_force;
    bool draining = false;
    time_point last_heard{};
};

/// Tracks which entries are alive by their direct heartbeats. Entries need not agree on the result:
/// it determines only which entry acts first, never which entry is allowed to act.
class roster {
public:
    struct options {
        entry_id self;
        incarnation version;
        location place;
        duration heartbeat_interval = std::chrono::milliseconds{500};
        /// An entry is considered dead after this long without a heartbeat.
        duration silence_limit = std::chrono::seconds{3};
        /// An entry is removed after this long without a heartbeat.
        duration retention = std::chrono::minutes{30};
    };

    roster(options opts, runtime& loop, peer_network& network, heartbeat_source& source);

    /// Starts sending heartbeats to the peers periodically.
    void start();

    void add_peer(const entry_id& peer);

    /// Records a heartbeat of another entry, unless it is not newer than the last one recorded.
    ///
    /// @return whether the heartbeat was recorded
    bool handle_heartbeat(const wire::Heartbeat& heartbeat);

    /// Sends a heartbeat to every peer immediately.
    void send_heartbeats();

    /// Sets the higher incarnation with which this process has joined again.
    void rejoined(incarnation version) { options_.version = version; }

    /// Marks this entry as draining in all subsequent heartbeats.
    void set_draining() { draining_ = true; }

    bool is_alive(const known_entry& entry) const;

    /// @return the entries that accept work: this one and all live peers, except draining ones
    std::vector<entry_id> active_entries() const;

    /// @return the entry that acts first for a key
    entry_id owner(std::string_view key) const;

    /// @return the entry that acts first for a key of a region: one in that region if any is active
    ///         there, otherwise the same as `owner`
    entry_id owner_in_region(const region_id& region, std::string_view key) const;

    const std::map<entry_id, known_entry>& peers() const { return known_; }
    const entry_id& self() const { return options_.self; }

private:
    void send_and_rearm();
    void remove_expired();
    wire::Heartbeat make_heartbeat();

    options options_;
    runtime& loop_;
    peer_network& network_;
    heartbeat_source& source_;
    scoped_timer timer_;
    std::vector<entry_id> peers_;
    std::map<entry_id, known_entry> known_;
    std::uint64_t sequence_ = 0;
    bool draining_ = false;
};

}  // namespace baobabrack

#endif
