#include "baobabrack/node/entry_presence.hpp"

#include <algorithm>
#include <utility>

namespace baobabrack {

entry_presence::entry_presence(options opts, runtime& loop, entry_set& listed, roster& live,
                               peer_network& network, proposer& records)
    : options_(std::move(opts)),
      loop_(loop),
      listed_(listed),
      live_(live),
      network_(network),
      records_(records),
      timer_(loop) {
}

void entry_presence::start() {
    watching_since_ = loop_.now();
    check();
}

void entry_presence::check() {
    if (removed() && !leaving_) {
        rejoin();
    }
    if (!listed_.is_joined(options_.self, options_.version) && !leaving_) {
        join();
    }
    meet_peers();
    give_sign();
    remove_silent();
    timer_.arm(options_.check_interval, [this] { check(); });
}

bool entry_presence::removed() const {
    if (listed_.departed().contains({options_.self, options_.version})) {
        return true;
    }
    const auto* listed = listed_.find(options_.self);
    return listed != nullptr && listed->joined().incarnation() > options_.version.get();
}

void entry_presence::rejoin() {
    const auto wall = loop_.wall_now().time_since_epoch().count();
    const auto* listed = listed_.find(options_.self);
    auto newest = options_.version.get();
    if (listed != nullptr) {
        newest = std::max(newest, std::uint64_t{listed->joined().incarnation()});
    }
    options_.version = incarnation{std::max(static_cast<std::uint64_t>(wall), newest + 1)};
    if (rejoin_) {
        rejoin_(options_.version);
    }
}

void entry_presence::join() {
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
    records_.propose(std::move(record), options_.patience,
                     [this](const result<record_position>&) { joining_ = false; });
}

void entry_presence::leave(std::function<void()> done) {
    leaving_ = true;
    wire::Record record;
    auto& left = *record.mutable_entry_left();
    left.set_entry(options_.self.get());
    left.set_incarnation(options_.version.get());
    left.set_drained(true);
    records_.propose(
        std::move(record), options_.patience,
        [done = std::move(done)](const result<record_position>& /*outcome*/) { done(); });
}

/// The record changes nothing, as this incarnation is listed already; its batch is the sign.
void entry_presence::give_sign() {
    const bool listed = listed_.is_joined(options_.self, options_.version);
    const auto last = last_append_.find(options_.self);
    const bool fresh =
        last != last_append_.end() && loop_.now() - last->second < options_.sign_interval;
    if (listed && !fresh && !leaving_) {
        join();
    }
}

bool entry_presence::is_alive_in_log(const entry_id& entry) const {
    const auto last = last_append_.find(entry);
    return last != last_append_.end() && loop_.now() - last->second <= options_.departure_limit;
}

void entry_presence::meet_peers() {
    for (const auto& [id, kept] : listed_.entries()) {
        if (id == options_.self) {
            continue;
        }
        network_.connect(id.get(), kept.joined().zmq_endpoint());
        live_.add_peer(id);
    }
}

void entry_presence::remove_silent() {
    if (!listed_.is_joined(options_.self, options_.version)) {
        lost_sight();
        return;
    }
    for (const auto& [id, kept] : listed_.entries()) {
        const incarnation version{kept.joined().incarnation()};
        const bool mine = live_.owner("entry/" + id.get()) == options_.self;
        if (id == options_.self || !mine || !is_silent(id, version)) {
            continue;
        }
        wire::Record record;
        record.mutable_entry_left()->set_entry(id.get());
        record.mutable_entry_left()->set_incarnation(version.get());
        records_.propose(std::move(record), options_.check_interval,
                         [](const result<record_position>&) {});
    }
}

bool entry_presence::is_silent(const entry_id& entry, incarnation version) const {
    const auto now = loop_.now();
    if (now - watching_since_ < options_.departure_limit || is_alive_in_log(entry)) {
        return false;
    }
    const auto heard = live_.peers().find(entry);
    if (heard == live_.peers().end() || heard->second.version < version) {
        return true;
    }
    return now - heard->second.last_heard > options_.departure_limit;
}

}  // namespace baobabrack
