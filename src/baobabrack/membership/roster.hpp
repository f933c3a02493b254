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

/// Fills in what a heartbeat tells of its sender beyond being alive.
class heartbeat_source {
public:
    heartbeat_source() = default;
    heartbeat_source(const heartbeat_source&) = delete;
    heartbeat_source& operator=(const heartbeat_source&) = delete;
    virtual ~heartbeat_source() = default;

    virtual void fill(wire::Heartbeat& heartbeat) = 0;
};

/// Another entry, as its newest heartbeat has it.
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

/// Which entries are alive, by direct heartbeats. Entries need not agree on it: it decides only
/// who acts first, never who may act.
class roster {
public:
    struct options {
        entry_id self;
        incarnation version;
        location place;
        duration heartbeat_interval = std::chrono::milliseconds{500};
        /// An entry that has been silent for this long counts as dead.
        duration silence_limit = std::chrono::seconds{3};
        /// A dead entry is forgotten after this long.
        duration retention = std::chrono::minutes{30};
    };

    roster(options opts, runtime& loop, peer_network& network, heartbeat_source& source);

    /// Begins to send heartbeats to the peers.
    void start();

    void add_peer(const entry_id& peer);

    /// Takes a heartbeat in; one older than the newest is ignored.
    ///
    /// @return whether it was news
    bool handle_heartbeat(const wire::Heartbeat& heartbeat);

    /// Sends a heartbeat to every peer now.
    void send_heartbeats();

    /// This process has joined anew under a higher incarnation.
    void rejoined(incarnation version) { options_.version = version; }

    /// Says in every heartbeat from now on that this entry is leaving.
    void set_draining() { draining_ = true; }

    bool is_alive(const known_entry& entry) const;

    /// @return entries that take on work: this one unless it drains, and every live peer
    std::vector<entry_id> active_entries() const;

    /// @return the entry that acts first for a key
    entry_id owner(std::string_view key) const;

    /// @return the entry that acts first for a key of a region: one there if any is alive
    entry_id owner_in_region(const region_id& region, std::string_view key) const;

    const std::map<entry_id, known_entry>& peers() const { return known_; }
    const entry_id& self() const { return options_.self; }

private:
    void beat_and_rearm();
    void forget_old();
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
