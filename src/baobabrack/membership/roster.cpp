#include "baobabrack/membership/roster.hpp"

#include <algorithm>

#include "baobabrack/membership/rendezvous.hpp"

namespace baobabrack {

namespace {

known_entry from_heartbeat(const wire::Heartbeat& heartbeat, time_point now) {
    return {.id = entry_id{heartbeat.entry()},
            .version = incarnation{heartbeat.incarnation()},
            .place = {.region = region_id{heartbeat.location().region()},
                      .data_centre = data_centre_id{heartbeat.location().data_centre()},
                      .rack = rack_id{heartbeat.location().rack()}},
            .sequence = heartbeat.sequence(),
            .next_offset = log_offset{heartbeat.next_offset()},
            .ticket_in_force = ticket_number{heartbeat.ticket_in_force()},
            .draining = heartbeat.draining(),
            .last_heard = now};
}

bool is_newer(const wire::Heartbeat& heartbeat, const known_entry& known) {
    if (heartbeat.incarnation() != known.version.get()) {
        return heartbeat.incarnation() > known.version.get();
    }
    return heartbeat.sequence() > known.sequence;
}

}  // namespace

roster::roster(options opts, runtime& loop, peer_network& network, heartbeat_source& source)
    : options_(std::move(opts)), loop_(loop), network_(network), source_(source), timer_(loop) {
}

void roster::start() {
    send_and_rearm();
}

void roster::add_peer(const entry_id& peer) {
    if (peer == options_.self || std::find(peers_.begin(), peers_.end(), peer) != peers_.end()) {
        return;
    }
    peers_.push_back(peer);
}

bool roster::handle_heartbeat(const wire::Heartbeat& heartbeat) {
    const entry_id id{heartbeat.entry()};
    if (id == options_.self || id.get().empty()) {
        return false;
    }
    const auto found = known_.find(id);
    if (found != known_.end() && !is_newer(heartbeat, found->second)) {
        return false;
    }
    known_[id] = from_heartbeat(heartbeat, loop_.now());
    return true;
}

void roster::send_heartbeats() {
    wire::PeerMessage message;
    *message.mutable_heartbeat() = make_heartbeat();
    for (const auto& peer : peers_) {
        network_.send(peer.get(), message);
    }
}

bool roster::is_alive(const known_entry& entry) const {
    return loop_.now() - entry.last_heard <= options_.silence_limit;
}

std::vector<entry_id> roster::active_entries() const {
    std::vector<entry_id> active;
    if (!draining_) {
        active.push_back(options_.self);
    }
    for (const auto& [id, entry] : known_) {
        if (is_alive(entry) && !entry.draining) {
            active.push_back(id);
        }
    }
    return active;
}

entry_id roster::owner(std::string_view key) const {
    return rendezvous_pick(key, active_entries());
}

entry_id roster::owner_in_region(const region_id& region, std::string_view key) const {
    std::vector<entry_id> regional;
    if (!draining_ && options_.place.region == region) {
        regional.push_back(options_.self);
    }
    for (const auto& [id, entry] : known_) {
        if (entry.place.region == region && is_alive(entry) && !entry.draining) {
            regional.push_back(id);
        }
    }
    return regional.empty() ? owner(key) : rendezvous_pick(key, regional);
}

void roster::send_and_rearm() {
    remove_expired();
    send_heartbeats();
    timer_.arm(options_.heartbeat_interval, [this] { send_and_rearm(); });
}

void roster::remove_expired() {
    std::erase_if(known_, [&](const auto& item) {
        return loop_.now() - item.second.last_heard > options_.retention;
    });
}

wire::Heartbeat roster::make_heartbeat() {
    wire::Heartbeat heartbeat;
    heartbeat.set_entry(options_.self.get());
    heartbeat.set_incarnation(options_.version.get());
    heartbeat.set_sequence(++sequence_);
    heartbeat.set_draining(draining_);
    heartbeat.mutable_location()->set_region(options_.place.region.get());
    heartbeat.mutable_location()->set_data_centre(options_.place.data_centre.get());
    heartbeat.mutable_location()->set_rack(options_.place.rack.get());
    source_.fill(heartbeat);
    return heartbeat;
}

}  // namespace baobabrack
