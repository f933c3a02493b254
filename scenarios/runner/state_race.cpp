#include "runner/state_race.hpp"

#include <algorithm>
#include <utility>

namespace baobabrack::scenario {

namespace {

using namespace std::chrono_literals;

constexpr auto patience = 400ms;
constexpr auto tick = 150ms;
constexpr std::size_t most_advances = 6;
constexpr std::size_t most_steps = 40;
constexpr std::size_t calm_rounds = 12;

const failure lost_answer{failure_kind::timed_out, "no answer", ""};
const failure log_down{failure_kind::unavailable, "down", ""};

}  // namespace

/// One entry's connection, whose appends wait for the run to decide about them.
class state_race::port : public log_service {
public:
    port(state_race& race, std::size_t entry, pausable_runtime& clock)
        : race_(race), entry_(entry), clock_(clock) {}

    void append(std::string payload, append_callback done) override {
        auto pass = clock_.passage();
        race_.take_append({entry_, std::move(payload),
                           [pass, done = std::move(done)](const result<log_offset>& answer) {
                               pass([done, answer] { done(answer); });
                           }});
    }

    void read(log_offset from, std::size_t most, read_callback done) override {
        auto pass = clock_.passage();
        race_.take_read(
            {from, most, [pass, done = std::move(done)](const result<log_page>& answer) {
                 pass([done, answer] { done(answer); });
             }});
    }

private:
    state_race& race_;
    std::size_t entry_;
    pausable_runtime& clock_;
};

state_race::racer::racer(state_race& race, std::size_t index, std::uint64_t version)
    : clock(race.loop_),
      states(race.protocol_.make_states()),
      connection(std::make_unique<port>(race, index, clock)) {
    std::vector<replicated_state*> parts;
    for (const auto& state : states) {
        parts.push_back(state.get());
    }
    reader = std::make_unique<replica>(clock, *connection, replica::options{}, parts);
    writer = std::make_unique<log_writer>(
        clock, *connection, *reader,
        log_writer::options{.writer = entry_id{"e" + std::to_string(index)},
                            .version = incarnation{version}});
    reader->start();
}

state_race::racer::~racer() = default;

state_race::state_race(const state_protocol& protocol, choice_walk& walk, race_mutation mutation)
    : protocol_(protocol), walk_(walk), mutation_(mutation) {
    wire::LogBatch batch;
    batch.set_writer("preamble");
    batch.set_sequence(1);
    batch.set_written_at_ms(loop_.wall_now().time_since_epoch().count());
    for (const auto& record : protocol_.preamble()) {
        *batch.add_records() = record;
    }
    log_.push_back(batch.SerializeAsString());
    for (std::size_t entry = 0; entry < racer_count; ++entry) {
        start(entry);
    }
}

void state_race::start(std::size_t entry) {
    const auto version = next_version_++;
    racers_[entry].reset();
    racers_[entry] = std::make_unique<racer>(*this, entry, version);
    auto proposal = std::make_shared<told_proposal>();
    proposal->writer = "e" + std::to_string(entry);
    proposal->version = version;
    proposals_.push_back(proposal);
    racers_[entry]->writer->propose(
        protocol_.proposal(entry, version), patience,
        [proposal, heeds = mutation_ != race_mutation::unheeded_refusal](
            const result<record_position>& outcome) {
            const auto conflict =
                !outcome && outcome.error().kind == failure_kind::conflict && !heeds;
            proposal->told =
                outcome || conflict ? "applied" : std::string(to_string(outcome.error().kind));
        });
}

void state_race::take_append(pending_append append) {
    if (mutation_ == race_mutation::blind_repeat) {
        wire::LogBatch batch;
        batch.ParseFromString(append.payload);
        batch.set_sequence(batch.sequence() + 1);
        late_.push_back(batch.SerializeAsString());
    }
    pending_.push_back(std::move(append));
}

void state_race::take_read(waiting_read read) {
    if (read.from.get() == log_.size()) {
        reads_.push_back(std::move(read));
        return;
    }
    answer(read);
}

void state_race::answer(const waiting_read& read) {
    log_page page{.oldest = log_offset{0}, .end = log_offset{log_.size()}};
    for (auto offset = read.from.get(); offset < log_.size(); ++offset) {
        page.entries.push_back({log_offset{offset}, log_[offset]});
    }
    loop_.schedule(duration::zero(), [done = read.done, page = std::move(page)] { done(page); });
}

void state_race::store(std::string payload) {
    log_.push_back(std::move(payload));
    for (const auto& read : std::exchange(reads_, {})) {
        answer(read);
    }
}

state_race::pending_append state_race::take_pending(std::size_t index) {
    auto taken = std::move(pending_[index]);
    pending_.erase(pending_.begin() + static_cast<std::ptrdiff_t>(index));
    return taken;
}

void state_race::add_append_actions(std::vector<action>& possible) {
    for (std::size_t index = 0; index < pending_.size(); ++index) {
        possible.push_back({{}, [this, index] {
                                auto taken = take_pending(index);
                                store(std::move(taken.payload));
                                taken.done(log_offset{log_.size() - 1});
                            }});
    }
    for (std::size_t index = 0; index < late_.size(); ++index) {
        possible.push_back({{}, [this, index] {
                                auto payload = late_[index];
                                late_.erase(late_.begin() + static_cast<std::ptrdiff_t>(index));
                                store(std::move(payload));
                            }});
    }
    const auto lost = mutation_ == race_mutation::lost_means_unavailable ? log_down : lost_answer;
    for (std::size_t index = 0; index < pending_.size(); ++index) {
        possible.push_back({{.fault = true}, [this, index, lost] {
                                auto taken = take_pending(index);
                                store(std::move(taken.payload));
                                taken.done(lost);
                            }});
        possible.push_back({{.fault = true}, [this, index, lost] {
                                auto taken = take_pending(index);
                                late_.push_back(std::move(taken.payload));
                                taken.done(lost);
                            }});
        possible.push_back(
            {{.fault = true}, [this, index] { take_pending(index).done(log_down); }});
    }
}

void state_race::add_entry_actions(std::vector<action>& possible) {
    for (std::size_t entry = 0; entry < racer_count; ++entry) {
        auto& clock = racers_[entry]->clock;
        if (clock.paused()) {
            possible.push_back({{}, [&clock] { clock.resume(); }});
        } else if (!paused_once_) {
            possible.push_back({{.fault = true}, [this, &clock] {
                                    paused_once_ = true;
                                    clock.pause();
                                }});
        }
        if (!restarted_once_) {
            possible.push_back({{.fault = true}, [this, entry] {
                                    restarted_once_ = true;
                                    start(entry);
                                }});
        }
    }
}

void state_race::add_time_action(std::vector<action>& possible) {
    if (advances_ >= most_advances) {
        return;
    }
    // Time that passes while something waits is a delay, which counts as a fault.
    const auto delays = !possible.empty() && !possible.front().cost.fault;
    action passing{{.fault = delays}, [this] {
                       ++advances_;
                       loop_.run_for(tick);
                   }};
    possible.insert(delays ? possible.end() : possible.begin(), std::move(passing));
}

std::vector<state_race::action> state_race::actions() {
    std::vector<action> possible;
    add_append_actions(possible);
    add_entry_actions(possible);
    std::stable_partition(possible.begin(), possible.end(),
                          [](const action& one) { return !one.cost.fault; });
    add_time_action(possible);
    return possible;
}

void state_race::settle() {
    loop_.run_for(1ms);
}

std::string state_race::run() {
    settle();
    for (std::size_t step = 0; step < most_steps; ++step) {
        const auto possible = actions();
        if (possible.empty() || possible.front().cost.fault) {
            break;
        }
        std::vector<choice_cost> costs;
        for (const auto& one : possible) {
            costs.push_back(one.cost);
        }
        possible[walk_.choose(costs)].act();
        settle();
    }
    calm();
    return check();
}

/// Lets everything that waits come to its end without further faults.
void state_race::calm() {
    for (const auto& one : racers_) {
        one->clock.resume();
    }
    for (std::size_t round = 0; round < calm_rounds; ++round) {
        while (!pending_.empty()) {
            auto taken = take_pending(0);
            store(std::move(taken.payload));
            taken.done(log_offset{log_.size() - 1});
        }
        loop_.run_for(tick);
    }
}

std::string state_race::check() {
    const auto states = protocol_.make_states();
    std::vector<replicated_state*> parts;
    for (const auto& state : states) {
        parts.push_back(state.get());
    }
    replay truth(parts);
    std::vector<bool> in_log(proposals_.size());
    std::vector<bool> applied(proposals_.size());
    std::size_t effects = 0;
    for (std::size_t offset = 0; offset < log_.size(); ++offset) {
        const auto replayed = truth.apply(log_[offset]);
        for (std::size_t index = 0; index < proposals_.size(); ++index) {
            const auto& one = *proposals_[index];
            if (offset == 0 || one.writer != replayed.batch.writer() ||
                one.version != replayed.batch.incarnation()) {
                continue;
            }
            for (const auto& outcome : replayed.outcomes) {
                in_log[index] = true;
                applied[index] = applied[index] || outcome.has_value();
                effects += outcome ? 1 : 0;
            }
        }
    }
    if (effects > 1) {
        return std::to_string(effects) + " proposals of one race took effect";
    }
    for (const auto& one : racers_) {
        if (one->reader->next_offset() != truth.next_offset() ||
            one->reader->digest() != truth.digest()) {
            return "a replica differs from the log";
        }
    }
    for (std::size_t index = 0; index < proposals_.size(); ++index) {
        if (auto found = check_told(*proposals_[index], in_log[index], applied[index]);
            !found.empty()) {
            return found;
        }
    }
    return "";
}

std::string state_race::check_told(const told_proposal& one, bool in_log, bool applied) const {
    const auto who = one.writer + "/" + std::to_string(one.version);
    if (one.told == "applied" && !applied) {
        return who + " was told that its proposal was applied, and it was not";
    }
    if (one.told == "unavailable" && in_log) {
        return who + " was told that its proposal is not in the log, and it is";
    }
    if (one.told == "conflict" && applied) {
        return who + " was told that its proposal was refused, and it was applied";
    }
    return "";
}

}  // namespace baobabrack::scenario
