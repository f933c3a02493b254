#include "baobabrack/node/entry_membership.hpp"

#include <algorithm>
#include <utility>

namespace baobabrack {

entry_membership::entry_membership(options opts, runtime& loop, entry_set& entries, roster& peers,
                                   peer_network& network, proposer& records)
    : options_(std::move(opts)),
      loop_(loop),
      entry_set_(entries),
      roster_(peers),
      network_(network),
      records_(records),
      check_timer_(loop) {
}

void entry_membership::start() {
    observing_since_ = loop_.now();
    check();
}

void entry_membership::check() {
    if (was_removed() && !leaving_) {
        rejoin();
    }
    if (!entry_set_.is_joined(options_.self, options_.version) && !leaving_) {
        join();
    }
    connect_peers();
    append_keepalive();
    remove_silent_entries();
    check_timer_.arm(options_.check_interval, [this] { check(); });
}

bool entry_membership::was_removed() const {
    if (entry_set_.departed().contains({options_.self, options_.version})) {
        return true;
    }
    const auto* entry = entry_set_.find(options_.self);
    return entry != nullptr && entry->joined().incarnation() > options_.version.get();
}

void entry_membership::rejoin() {
    const auto wall_clock = loop_.wall_now().time_since_epoch().count();
    const auto* entry = entry_set_.find(options_.self);
    auto highest = options_.version.get();
    if (entry != nullptr) {
        highest = std::max(highest, std::uint64_t{entry->joined().incarnation()});
    }
    options_.version = incarnation{std::max(static_cast<std::uint64_t>(wall_clock), highest + 1)};
    if (on_rejoin_) {
        on_rejoin_(options_.version);
    }
}

void entry_membership::join() {
    if (std::exchange(joining_, true)) {
        return;
    }
    wire::Record record;
    auto& joined = *record.mutable_entry_joined();
    joined.set_entry(options_.self.get());
    joined.set_incarnation(options_.version.get());
    joined.set_zmq_endpoint(options_.zmq_endpoint);
    joined.mutable_location()->set_region(options_.place.region.get());
    joined.mutable_location()->set_data_centre(options_.place.data_centre.get());
    joined.mutable_location()->set_rack(options_.place.rack.get());
    records_.propose(std::move(record), options_.append_timeout,
                     [this](const result<record_position>&) { joining_ = false; });
}

void entry_membership::leave(std::function<void()> done) {
    leaving_ = true;
    wire::Record record;
    auto& left = *record.mutable_entry_left();
    left.set_entry(options_.self.get());
    left.set_incarnation(options_.version.get());
    left.set_drained(true);
    records_.propose(
        std::move(record), options_.append_timeout,
        [done = std::move(done)](const result<record_position>& /*outcome*/) { done(); });
}

/// Appends another join record. It changes nothing, since this incarnation is already listed, but
/// the batch shows the other entries that this one is alive.
void entry_membership::append_keepalive() {
    const bool listed = entry_set_.is_joined(options_.self, options_.version);
    const auto last = last_append_.find(options_.self);
    const bool recent =
        last != last_append_.end() && loop_.now() - last->second < options_.keepalive_interval;
    if (listed && !recent && !leaving_) {
        join();
    }
}

bool entry_membership::has_recent_append(const entry_id& entry) const {
    const auto last = last_append_.find(entry);
    return last != last_append_.end() && loop_.now() - last->second <= options_.removal_timeout;
}

void entry_membership::connect_peers() {
    for (const auto& [id, entry] : entry_set_.entries()) {
        if (id == options_.self) {
            continue;
        }
        network_.connect(id.get(), entry.joined().zmq_endpoint());
        roster_.add_peer(id);
    }
}

void entry_membership::remove_silent_entries() {
    if (!entry_set_.is_joined(options_.self, options_.version)) {
        restart_observation();
        return;
    }
    for (const auto& [id, entry] : entry_set_.entries()) {
        const incarnation version{entry.joined().incarnation()};
        const bool is_owner = roster_.owner("entry/" + id.get()) == options_.self;
        if (id == options_.self || !is_owner || !is_silent(id, version)) {
            continue;
        }
        wire::Record record;
        record.mutable_entry_left()->set_entry(id.get());
        record.mutable_entry_left()->set_incarnation(version.get());
        records_.propose(std::move(record), options_.check_interval,
                         [](const result<record_position>&) {});
    }
}

bool entry_membership::is_silent(const entry_id& entry, incarnation version) const {
    const auto now = loop_.now();
    if (now - observing_since_ < options_.removal_timeout || has_recent_append(entry)) {
        return false;
    }
    const auto peer = roster_.peers().find(entry);
    if (peer == roster_.peers().end() || peer->second.version < version) {
        return true;
    }
    return now - peer->second.last_heard > options_.removal_timeout;
}

}  // namespace baobabrack
