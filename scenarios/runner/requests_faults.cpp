#include <algorithm>
#include <array>
#include <utility>

#include "runner/requests_world.hpp"

// The faults of the random requests runs.

namespace baobabrack::scenario {

namespace {

using namespace std::chrono_literals;
using fakes::target_mode;

constexpr std::array modes{target_mode::ordinary,  target_mode::ordinary,  target_mode::slow,
                           target_mode::errors,    target_mode::stalls,    target_mode::mismatches,
                           target_mode::truncates, target_mode::duplicates};
constexpr std::size_t most_entries = 5;
constexpr duration settling = 60s;
// Longer than an entry uses its shares without sight of the log.
constexpr duration longest_parting = 12s;
constexpr duration longest_outage = 6s;
constexpr duration longest_target_fault = 6s;
constexpr duration leaving_time = 6s;

}  // namespace

fakes::fake_target& requests_world::any_target() {
    auto found = targets_.all().begin();
    std::advance(found, pick(targets_.all().size()));
    return found->second;
}

void requests_world::fault() {
    ++faults_;
    switch (pick(6)) {
        case 0:
            entry_fault();
            break;
        case 1:
            log_fault();
            break;
        default:
            target_fault();
            break;
    }
}

void requests_world::after(duration longest, std::function<void()> mend) {
    loop_.schedule(
        duration{static_cast<duration::rep>(pick(static_cast<std::uint64_t>(longest.count())))},
        std::move(mend));
}

requests_entry* requests_world::find_entry(const entry_id& id) {
    const auto found = std::find_if(entries_.begin(), entries_.end(),
                                    [&](const auto& one) { return one->id() == id; });
    return found == entries_.end() ? nullptr : found->get();
}

void requests_world::part_from_log(requests_entry& entry) {
    entry.replica().set_parted(true);
    after(longest_parting, [this, id = entry.id()] {
        if (auto* found = find_entry(id)) {
            found->replica().set_parted(false);
        }
    });
}

void requests_world::part_from_peers(requests_entry& entry) {
    entry.parted_from_peers = true;
    // The others take it for dead after a while.
    after(longest_parting, [this, id = entry.id()] {
        if (auto* found = find_entry(id); found != nullptr && found->parted_from_peers) {
            any_entry().remove(id, found->version());
        }
    });
    after(longest_parting, [this, id = entry.id()] {
        if (auto* found = find_entry(id)) {
            found->parted_from_peers = false;
        }
    });
}

void requests_world::entry_fault() {
    const auto index = pick(entries_.size());
    auto& entry = *entries_[index];
    const auto id = entry.id().get();
    switch (pick(12)) {
        case 0:
            kill_entry(index);
            add_entry("e" + std::to_string(++entries_made_), incarnation{1});
            break;
        case 1:
        case 2:
            kill_entry(index);
            add_entry(id, incarnation{versions_[id] + 1});
            break;
        case 3:
        case 4:
            if (entries_.size() < most_entries) {
                add_entry("e" + std::to_string(++entries_made_), incarnation{1});
            }
            break;
        case 5:
        case 6:
        case 7:
            if (entries_.size() > 1) {
                entry.begin_drain();
            }
            break;
        case 8:
        case 9:
            part_from_log(entry);
            break;
        case 10:
            part_from_log(entry);
            part_from_peers(entry);
            break;
        default:
            part_from_peers(entry);
            break;
    }
}

void requests_world::restart_target(const target_id& id) {
    targets_.crash(id);
    targets_.get(id).facts.set_sequence(1);
    oracle_.restarted(id);
    announce(id);
}

void requests_world::target_fault() {
    auto& target = any_target();
    const target_id id{target.facts.target()};
    switch (pick(5)) {
        case 0:
            restart_target(id);
            break;
        case 1:
            if (target.facts.leaving()) {
                break;
            }
            target.facts.set_sequence(target.facts.sequence() + 1);
            target.facts.set_leaving(true);
            oracle_.leaving(id);
            announce(id);
            loop_.schedule(leaving_time, [this, id] { restart_target(id); });
            break;
        case 2:
            target.up = false;
            after(longest_target_fault, [this, id] { targets_.get(id).up = true; });
            break;
        default:
            target.mode = modes[pick(modes.size())];
            after(longest_target_fault,
                  [this, id] { targets_.get(id).mode = target_mode::ordinary; });
            break;
    }
}

void requests_world::log_fault() {
    if (pick(2) == 0) {
        log_.set_down(true);
        after(longest_outage, [this] { log_.set_down(false); });
        return;
    }
    log_.set_late_appends(300);
    after(longest_outage, [this] { log_.set_late_appends(0); });
}

void requests_world::settle() {
    log_.set_down(false);
    log_.set_late_appends(0);
    for (const auto& entry : entries_) {
        entry->replica().set_parted(false);
        entry->parted_from_peers = false;
    }
    loop_.run_for(settling);
    oracle_.check_limits(targets_);
    for (const auto& entry : entries_) {
        if (!entry->requests().drained()) {
            oracle_.broke("entry " + entry->id().get() + " still holds " +
                          std::to_string(entry->requests().in_flight()) + " requests and " +
                          std::to_string(entry->requests().unsettled()) + " claims");
        }
    }
}

}  // namespace baobabrack::scenario
