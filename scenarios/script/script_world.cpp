#include "script/script_world.hpp"

#include <set>
#include <stdexcept>
#include <utility>

namespace baobabrack::scenario {

namespace {

using namespace std::chrono_literals;

constexpr duration announce_interval = 1s;
constexpr duration check_interval = 50ms;
// A leaving target gets no new work after this long.
constexpr duration leaving_limit = 2s;
constexpr std::uint32_t slots_per_target = 8;
constexpr std::uint32_t connections_per_target = 64;

duration work_of(const target_request& request) {
    const auto at = request.body.find("work_ms=");
    if (at == std::string::npos) {
        return 20ms;
    }
    return std::chrono::milliseconds{std::stoul(request.body.substr(at + 8))};
}

}  // namespace

bool script_request::whole() const {
    if (!answer) {
        return false;
    }
    const auto* got = std::get_if<whole_answer>(&*answer);
    return got != nullptr && got->body == "answer to " + body;
}

script_world::script_world(std::uint64_t seed)
    : loop_(seed),
      log_(loop_, {}),
      network_(loop_, {}),
      workers_(loop_, {}),
      targets_(loop_, {}, work_of),
      platform_{loop_, log_, network_, workers_, targets_},
      announce_timer_(loop_) {
    targets_.on_run([this](const fakes::fake_target& target, const target_request& run) {
        note_run(target_id{target.facts.target()}, run);
    });
    announce_all();
}

void script_world::start_entry(const std::string& id, const std::string& region) {
    entries_.erase(id);
    // As in the daemon, an incarnation is a wall-clock time.
    const auto wall = static_cast<std::uint64_t>(loop_.wall_now().time_since_epoch().count());
    next_version_ = std::max(next_version_ + 1, wall);
    std::vector<std::string> peers;
    for (const auto& [other, one] : entries_) {
        peers.push_back(other);
    }
    entries_[id] = std::make_unique<script_entry>(platform_, id, region, next_version_, peers);
    drained_[id] = false;
}

void script_world::drain_entry(const std::string& id) {
    entry(id).node().drain([this, id] { drained_[id] = true; });
}

bool script_world::has_drained(const std::string& id) const {
    return drained_.at(id);
}

script_entry& script_world::entry(const std::string& id) {
    const auto found = entries_.find(id);
    if (found == entries_.end()) {
        throw std::runtime_error("no entry is called " + id);
    }
    return *found->second;
}

script_entry& script_world::any_entry() {
    for (const auto& [id, one] : entries_) {
        if (!one->paused()) {
            return *one;
        }
    }
    throw std::runtime_error("no entry runs");
}

void script_world::add_workers(const std::string& prefix, const std::string& region,
                               std::uint32_t count, std::uint32_t per_rack,
                               const resources& capacity) {
    for (std::uint32_t i = 0; i < count; ++i) {
        wire::WorkerFacts facts;
        facts.set_worker(prefix + std::to_string(i + 1));
        facts.set_incarnation(1);
        facts.mutable_location()->set_region(region);
        facts.mutable_location()->set_data_centre(region + "-1");
        facts.mutable_location()->set_rack(prefix + "rack-" + std::to_string(i / per_rack + 1));
        *facts.mutable_capacity() = to_wire(capacity);
        workers_.add(facts);
    }
}

void script_world::add_target(const std::string& id, const std::string& service,
                              const std::string& region) {
    wire::TargetAnnouncement facts;
    facts.set_target(id);
    facts.set_incarnation(1);
    facts.set_service(service);
    facts.mutable_location()->set_region(region);
    facts.mutable_location()->set_data_centre(region + "-1");
    facts.set_slots(slots_per_target);
    facts.set_connections(connections_per_target);
    announce(targets_.add(std::move(facts)));
}

void script_world::leave(const std::string& target) {
    auto& leaving = targets_.get(target_id{target});
    leaving.facts.set_leaving(true);
    left_[target] = loop_.now();
    announce(leaving);
}

void script_world::announce_all() {
    for (auto& [id, target] : targets_.all()) {
        if (target.up) {
            announce(target);
        }
    }
    announce_timer_.arm(announce_interval, [this] { announce_all(); });
}

/// One entry in turn hears it directly; the others learn of it by heartbeats.
void script_world::announce(fakes::fake_target& target) {
    target.facts.set_sequence(target.facts.sequence() + 1);
    std::vector<script_entry*> awake;
    for (const auto& [id, one] : entries_) {
        if (!one->paused()) {
            awake.push_back(one.get());
        }
    }
    if (!awake.empty()) {
        awake[target.facts.sequence() % awake.size()]->node().handle_target_announcement(
            target.facts);
    }
}

void script_world::send(const std::string& name, const std::string& via, caller_request request) {
    requests_[name] = {.body = request.body,
                       .key = request.key ? request.key->get() : std::string{},
                       .answer = std::nullopt};
    entry(via).node().requests().submit(std::move(request), [this, name](caller_answer answer) {
        requests_.at(name).answer = std::move(answer);
    });
}

void script_world::note_run(const target_id& target, const target_request& run) {
    if (run.claim) {
        ++runs_[run.claim->key.get()];
    }
    const auto left = left_.find(target.get());
    if (left != left_.end() && loop_.now() - left->second > leaving_limit) {
        late_run_ = target.get() + " got work more than 2 s after it announced leaving";
    }
}

std::uint32_t script_world::runs_of(const std::string& key) const {
    const auto found = runs_.find(key);
    return found == runs_.end() ? 0 : found->second;
}

std::uint32_t script_world::running_members(const std::string& job) const {
    std::uint32_t members = 0;
    for (const auto& [id, one] : workers_.alive()) {
        for (const auto& task : one->held()) {
            members += task.running && task.job.get() == job ? 1 : 0;
        }
    }
    return members;
}

std::string script_world::run_for(duration span) {
    const auto end = loop_.now() + span;
    while (loop_.now() < end) {
        loop_.run_until(std::min(end, loop_.now() + check_interval));
        if (auto violation = find_violation(); !violation.empty()) {
            return violation;
        }
    }
    return "";
}

std::string script_world::find_violation() const {
    for (const auto& [key, count] : runs_) {
        if (count > 1) {
            return "key " + key + " ran " + std::to_string(count) + " times";
        }
    }
    for (const auto& [name, sent] : requests_) {
        if (!sent.answer) {
            continue;
        }
        const auto* refused = std::get_if<refusal>(&*sent.answer);
        if (refused != nullptr && refused->ran == ran_state::no && runs_of(sent.key) > 0) {
            return "request " + name + " was told that it did not run, and it ran";
        }
        const auto* got = std::get_if<whole_answer>(&*sent.answer);
        if (got != nullptr && got->status == 200 && !sent.whole()) {
            return "request " + name + " got an answer that is not its own: " + got->body;
        }
    }
    if (!late_run_.empty()) {
        return late_run_;
    }
    const auto overload = find_overload();
    return overload.empty() ? find_mixed_attempts() : overload;
}

std::string script_world::find_overload() const {
    for (const auto& [id, one] : workers_.alive()) {
        auto free = from_wire(one->facts().capacity());
        for (const auto& task : one->held()) {
            if (!free.can_fit(task.size)) {
                return "worker " + id.get() + " holds more than it has";
            }
            free.subtract(task.size);
        }
    }
    return "";
}

std::string script_world::find_mixed_attempts() const {
    std::map<std::string, std::set<std::uint32_t>> attempts;
    for (const auto& [id, one] : workers_.alive()) {
        if (one->paused()) {
            continue;
        }
        for (const auto& task : one->held()) {
            if (task.running) {
                attempts[task.job.get()].insert(task.attempt.get());
            }
        }
    }
    for (const auto& [job, seen] : attempts) {
        if (seen.size() > 1) {
            return "job " + job + " runs under two attempts at once";
        }
    }
    return "";
}

}  // namespace baobabrack::scenario
