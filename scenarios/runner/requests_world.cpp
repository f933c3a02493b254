#include "runner/requests_world.hpp"

#include <algorithm>
#include <array>
#include <utility>

namespace baobabrack::scenario {

namespace {

using namespace std::chrono_literals;

constexpr std::array regions{"tennengau", "flachgau"};
constexpr duration tick_interval = 10ms;
constexpr duration heartbeat_interval = 100ms;
constexpr duration longest_deadline = 2s;
constexpr duration longest_announcement_delay = 1s;
constexpr std::uint32_t slots = 4;
constexpr std::uint32_t connections = 6;
constexpr std::uint64_t faults_one_in = 120;
constexpr std::uint64_t burst_one_in = 30;
constexpr std::size_t keys_remembered = 64;

wire::Ticket world_ticket() {
    wire::Ticket ticket;
    ticket.set_number(1);
    auto& service = *ticket.add_services();
    service.set_id("plaitplan");
    const auto add_class = [&](const char* name, std::uint32_t priority, bool idempotent) {
        auto& one = *service.add_classes();
        one.set_name(name);
        one.set_priority(priority);
        one.set_idempotent(idempotent);
        one.set_queue_limit(30);
    };
    add_class("check", 0, true);
    add_class("sort", 1, false);
    add_class("preview", 2, true);
    for (const auto* id : {"w1", "w2", "w3"}) {
        auto& workspace = *ticket.add_workspaces();
        workspace.set_id(id);
        workspace.set_service("plaitplan");
        workspace.set_request_weight(1);
        workspace.set_cross_region_bytes_per_day(1'000'000'000);
    }
    return ticket;
}

}  // namespace

requests_world::requests_world(std::uint64_t seed, const std::string& mutation)
    : loop_(seed),
      mutation_(mutation),
      oracle_(loop_),
      log_(loop_),
      targets_(loop_, {}, [this](const target_request&) -> duration {
          const auto tail = pick(10) == 0 ? 300ms : 0ms;
          return std::chrono::milliseconds{5 + pick(50)} + tail;
      }) {
    tickets_.apply(world_ticket());
    targets_.on_run([this](const auto& target, const auto& request) {
        ++runs_;
        oracle_.ran(target, request);
        oracle_.check_limits(targets_);
    });
    for (int i = 1; i <= 6; ++i) {
        add_target("t" + std::to_string(i), regions[static_cast<std::size_t>(i) % 2], i == 6);
    }
    for (int i = 1; i <= 3; ++i) {
        add_entry("e" + std::to_string(++entries_made_), incarnation{1});
    }
    tick();
    send_heartbeats();
}

dispatcher::options requests_world::entry_options(const std::string& id,
                                                  incarnation version) const {
    const auto number = std::stoul(id.substr(1));
    dispatcher::options opts{.self = entry_id{id},
                             .version = version,
                             .place = {.region = region_id{regions[number % 2]}},
                             .longest_deadline = longest_deadline,
                             .linger = 200ms,
                             .late_window = 500ms};
    opts.shares = {.sight_limit = 8s, .longest_request = 3s, .margin = 1s};
    opts.targets.warm_up = 2s;
    opts.claims.skip_claims = mutation_ == "skip_claims";
    opts.claims.presume_not_run = mutation_ == "presume_not_run";
    opts.shares.ignore_others = mutation_ == "ignore_others";
    opts.targets.ignore_leaving = mutation_ == "ignore_leaving";
    opts.resend_unknown = mutation_ == "resend_unknown";
    opts.trust_answers = mutation_ == "trust_answers";
    return opts;
}

void requests_world::add_entry(std::string id, incarnation version) {
    versions_[id] = version.get();
    auto added = std::make_unique<requests_entry>(loop_, log_, targets_, tickets_,
                                                  entry_options(id, version));
    for (const auto& [target, known] : targets_.all()) {
        added->registry().handle_announcement(known.facts, loop_.now());
    }
    added->join();
    entries_.push_back(std::move(added));
}

void requests_world::add_target(const std::string& id, const std::string& region, bool guarded) {
    wire::TargetAnnouncement facts;
    facts.set_target(id);
    facts.set_incarnation(1);
    facts.set_sequence(1);
    facts.set_service("plaitplan");
    facts.mutable_location()->set_region(region);
    facts.set_slots(slots);
    facts.set_connections(connections);
    facts.set_guard_endpoint(guarded ? "guard" : "");
    targets_.add(facts);
    announce(target_id{id});
}

void requests_world::announce(const target_id& id) {
    const auto facts = targets_.get(id).facts;
    for (const auto& entry : entries_) {
        const duration delay{static_cast<duration::rep>(
            pick(static_cast<std::uint64_t>(longest_announcement_delay.count())))};
        loop_.schedule(delay, [this, id = entry->id(), facts] {
            for (const auto& one : entries_) {
                if (one->id() == id && one->registry().handle_announcement(facts, loop_.now())) {
                    one->requests().refresh();
                }
            }
        });
    }
}

void requests_world::tick() {
    for (const auto& entry : entries_) {
        entry->tick();
    }
    std::erase_if(entries_, [](const auto& entry) { return entry->left(); });
    replace_removed();
    remove_dead();
    if (entries_.empty()) {
        add_entry("e" + std::to_string(++entries_made_), incarnation{1});
    }
    loop_.schedule(tick_interval, [this] { tick(); });
}

void requests_world::send_heartbeats() {
    for (const auto& sender : entries_) {
        for (const auto& receiver : entries_) {
            const bool lost =
                sender->parted_from_peers || receiver->parted_from_peers || pick(10) == 0;
            if (sender != receiver && !lost) {
                receiver->requests().heard(sender->id(), sender->version(),
                                           sender->replica().next_offset());
            }
        }
    }
    loop_.schedule(heartbeat_interval, [this] { send_heartbeats(); });
}

void requests_world::kill_entry(std::size_t index) {
    dead_.push_back({entries_[index]->id(), entries_[index]->version(), loop_.now()});
    entries_.erase(entries_.begin() + static_cast<std::ptrdiff_t>(index));
}

void requests_world::replace_removed() {
    for (std::size_t i = 0; i < entries_.size(); ++i) {
        if (!entries_[i]->was_removed()) {
            continue;
        }
        const auto id = entries_[i]->id().get();
        kill_entry(i);
        add_entry(id, incarnation{versions_[id] + 1});
        return;
    }
}

void requests_world::remove_dead() {
    constexpr duration suspicion = 1s;
    constexpr duration memory = 30s;
    std::erase_if(dead_, [&](const auto& one) { return loop_.now() - one.since > memory; });
    for (const auto& one : dead_) {
        if (loop_.now() - one.since > suspicion && pick(100) == 0 && !entries_.empty()) {
            any_entry().remove(one.id, one.version);
        }
    }
}

duration requests_world::any_deadline() {
    return std::chrono::milliseconds{100 + pick(1800)};
}

requests_entry& requests_world::ready_entry() {
    // As the balancer does mostly, but not always.
    auto* entry = &any_entry();
    for (int tries = 0; tries < 4 && !entry->ready(); ++tries) {
        entry = &any_entry();
    }
    return *entry;
}

void requests_world::submit(caller_request request, bool idempotent) {
    ++submitted_;
    const auto body = request.body;
    const auto attempt = request.attempt;
    ready_entry().requests().submit(std::move(request), [=, this](const caller_answer& answer) {
        oracle_.answered(body, attempt, idempotent, answer);
    });
}

void requests_world::submit_idempotent() {
    caller_request request{.workspace = "w" + std::to_string(1 + pick(3)),
                           .request_class = pick(2) == 0 ? "check" : "preview",
                           .body = "i" + std::to_string(submitted_),
                           .deadline = any_deadline()};
    submit(std::move(request), true);
}

void requests_world::submit_new_key() {
    const auto issued = loop_.wall_now().time_since_epoch().count();
    caller_key key{.body = "k" + std::to_string(submitted_), .counts_attempts = pick(8) != 0};
    key.key = std::to_string(issued) + "-" + key.body;
    if (keys_.size() < keys_remembered) {
        keys_.push_back(key);
        submit_key(keys_.back());
        return;
    }
    auto& replaced = keys_[pick(keys_remembered)];
    replaced = key;
    submit_key(replaced);
}

void requests_world::submit_known_key() {
    if (!keys_.empty()) {
        submit_key(keys_[pick(keys_.size())]);
    }
}

void requests_world::submit_key(caller_key& key) {
    key.attempts += key.counts_attempts ? 1 : 0;
    caller_request request{.workspace = "w1",
                           .request_class = "sort",
                           .body = key.body,
                           .key = idempotency_key{key.key},
                           .attempt = key.attempts,
                           .deadline = any_deadline()};
    request.headers.push_back({requests_oracle::attempt_header, std::to_string(key.attempts)});
    submit(std::move(request), false);
}

void requests_world::step() {
    const auto choice = pick(100);
    if (pick(faults_one_in) == 0) {
        fault();
    }
    if (choice < 45) {
        submit_idempotent();
    } else if (choice < 65) {
        submit_new_key();
    } else if (choice < 85) {
        submit_known_key();
    } else if (pick(burst_one_in) == 0) {
        for (int i = 0; i < 40; ++i) {
            submit_idempotent();
        }
    }
    loop_.run_for(std::chrono::microseconds{pick(10'000)});
    oracle_.check_limits(targets_);
}

std::vector<std::string> requests_world::coverage() const {
    std::vector<std::string> lines{
        "submitted " + std::to_string(submitted_), "runs " + std::to_string(runs_),
        "faults " + std::to_string(faults_), "log records " + std::to_string(log_.lines().size())};
    for (const auto& [reason, count] : oracle_.refusals()) {
        lines.push_back(reason + " " + std::to_string(count));
    }
    return lines;
}

}  // namespace baobabrack::scenario
