#include "runner/state_world.hpp"

#include <algorithm>

namespace baobabrack::scenario {

namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t mutation_step = 50;
constexpr auto settle_time = 60s;

std::string line(const std::string& what, std::uint64_t count) {
    return what + " " + std::to_string(count);
}

}  // namespace

state_world::state_world(const fuzz_options& options)
    : random_(options.seed),
      records_(options.seed),
      mutation_(options.mutation),
      loop_(options.seed),
      log_(loop_, {.retention = 400, .append_limit = 300}) {
    log_.on_append([this](log_offset offset, const std::string& payload) {
        note(oracle_.append(offset, payload));
    });
    for (std::size_t index = 0; index < process_count; ++index) {
        start(index, false);
    }
}

void state_world::note(const std::string& violation) {
    if (violation_.empty()) {
        violation_ = violation;
    }
}

std::string state_world::step() {
    ++steps_;
    act();
    mutate();
    const auto span = one_in(10) ? pick(2'000) : pick(60);
    loop_.run_for(std::chrono::milliseconds{span});
    note(check());
    return violation_;
}

void state_world::act() {
    if (one_in(down_ ? 12 : 120)) {
        toggle_outage();
    }
    if (one_in(slow_ ? 12 : 120)) {
        toggle_slowness();
    }
    if (one_in(50)) {
        ++counts_.lost_answers;
        log_.lose_append_answers(1 + pick(3));
    }
    if (one_in(400)) {
        lose_records();
    }
    if (one_in(60)) {
        put_junk();
    }
    for (std::size_t index = 0; index < process_count; ++index) {
        disturb(index);
    }
    for (auto count = pick(4); count > 0; --count) {
        propose();
    }
}

void state_world::disturb(std::size_t index) {
    const auto& process = processes_[index];
    if (one_in(process ? 200 : 10)) {
        kill_or_start(index);
    }
    if (process && one_in(process->clock.paused() ? 15 : 200)) {
        pause_or_resume(index);
    }
}

void state_world::propose() {
    const auto& process = processes_[pick(process_count)];
    if (!process || process->clock.paused()) {
        return;
    }
    auto record = records_.make(process->parts, loop_.wall_now());
    const auto mark = state_records::mark_of(record);
    if (mark.empty()) {
        process->writer.propose(std::move(record), 5s, [](const auto& /*outcome*/) {});
        return;
    }
    oracle_.propose(mark);
    const auto patience = std::chrono::milliseconds{50 + pick(one_in(3) ? 10'000 : 500)};
    process->writer.propose(std::move(record), patience,
                            [this, mark](const result<record_position>& outcome) {
                                if (mutation_ == "early-acknowledgement" && !outcome) {
                                    note(oracle_.answer(mark, record_position{}));
                                    return;
                                }
                                note(oracle_.answer(mark, outcome));
                            });
}

void state_world::toggle_outage() {
    down_ = !down_;
    counts_.outages += down_ ? 1 : 0;
    log_.set_down(down_);
}

void state_world::toggle_slowness() {
    slow_ = !slow_;
    counts_.slow_spells += slow_ ? 1 : 0;
    log_.set_extra_delay(slow_ ? std::chrono::milliseconds{1 + pick(3'000)} : 0ms);
}

void state_world::lose_records() {
    ++counts_.retention_losses;
    log_.keep_last(one_in(3) ? pick(20) : 20 + pick(200));
}

void state_world::kill_or_start(std::size_t index) {
    if (processes_[index]) {
        ++counts_.kills;
        processes_[index].reset();
        return;
    }
    start(index, one_in(2));
}

void state_world::start(std::size_t index, bool from_peer) {
    const auto id = "e" + std::to_string(index);
    const auto* peer = from_peer ? find_ready() : nullptr;
    const auto bytes = peer != nullptr ? peer->reader.save_snapshot() : "";
    processes_[index] = std::make_unique<state_process>(loop_, log_, id, next_incarnation_++);
    if (peer == nullptr) {
        ++counts_.log_starts;
        return;
    }
    ++counts_.peer_starts;
    if (!processes_[index]->reader.load_snapshot(bytes)) {
        note("a peer's snapshot was refused");
    }
}

void state_world::pause_or_resume(std::size_t index) {
    auto* process = processes_[index].get();
    if (process == nullptr) {
        return;
    }
    if (process->clock.paused()) {
        process->clock.resume();
        return;
    }
    ++counts_.pauses;
    process->clock.pause();
}

void state_world::put_junk() {
    std::string junk(1 + pick(40), '\0');
    for (auto& byte : junk) {
        byte = static_cast<char>(pick(256));
    }
    log_.put(std::move(junk));
}

void state_world::mutate() {
    auto* victim = find_ready();
    if (mutation_.empty() || steps_ < mutation_step || victim == nullptr) {
        return;
    }
    if (mutation_ == "blank-entry") {
        victim->log.lie(log_lie::blank_entry);
    } else if (mutation_ == "false-unavailable") {
        victim->log.lie(log_lie::false_unavailable);
    } else if (mutation_ == "new-sequence") {
        victim->log.lie(log_lie::new_sequence);
    } else if (mutation_ == "reverted-tickets") {
        if (old_tickets_.empty()) {
            old_tickets_ = victim->parts.tickets.save();
            old_highest_ = victim->parts.tickets.in_force().highest();
        } else if (victim->highest_seen > old_highest_) {
            (void)victim->parts.tickets.load(old_tickets_);
        }
    }
}

state_process* state_world::find_ready() const {
    const auto found = std::find_if(processes_.begin(), processes_.end(), [](const auto& one) {
        return one && one->reader.ready() && !one->clock.paused() &&
               one->reader.phase() == replica_phase::following;
    });
    return found == processes_.end() ? nullptr : found->get();
}

std::string state_world::check() const {
    for (const auto& process : processes_) {
        if (!process) {
            continue;
        }
        if (auto found = check_process(*process); !found.empty()) {
            return found;
        }
    }
    return "";
}

std::string state_world::check_process(state_process& process) const {
    const auto highest = process.parts.tickets.in_force().highest();
    if (highest < process.highest_seen) {
        return "tickets went back from " + std::to_string(process.highest_seen.get()) + " to " +
               std::to_string(highest.get());
    }
    process.highest_seen = highest;
    const auto next = process.reader.next_offset();
    if (next == process.checked_offset) {
        return "";
    }
    if (process.checked_offset != log_offset{UINT64_MAX} && next < process.checked_offset) {
        return "a replica went back to offset " + std::to_string(next.get());
    }
    process.checked_offset = next;
    if (process.reader.digest() != oracle_.digest(next)) {
        return "a replica differs at offset " + std::to_string(next.get());
    }
    return "";
}

void state_world::heal() {
    down_ = false;
    log_.set_down(false);
    log_.set_extra_delay(0ms);
    log_.lose_append_answers(0);
    for (std::size_t index = 0; index < process_count; ++index) {
        if (!processes_[index]) {
            start(index, false);
        }
        processes_[index]->clock.resume();
    }
}

std::string state_world::finish() {
    heal();
    const auto recoverable = oracle_.recoverable(log_.oldest());
    loop_.run_for(settle_time);
    for (const auto& process : processes_) {
        if (process->reader.phase() != replica_phase::stranded) {
            continue;
        }
        ++counts_.stranded;
        if (recoverable) {
            return "a replica is stranded although the log has what it needs";
        }
        const auto* peer = find_ready();
        if (peer != nullptr && !process->reader.load_snapshot(peer->reader.save_snapshot())) {
            return "a peer's snapshot was refused";
        }
    }
    loop_.run_for(settle_time);
    note(check());
    note(check_end());
    return violation_;
}

std::string state_world::check_end() const {
    if (find_ready() == nullptr) {
        // The log lost records that nobody had read yet, and every replica has said so.
        return counts_.stranded == process_count ? "" : "no replica is ready";
    }
    for (const auto& process : processes_) {
        if (process->reader.next_offset().get() != log_.end()) {
            return "a replica did not reach the log's end";
        }
    }
    if (oracle_.count(proposal_answer::none) > counts_.kills * 100) {
        return "proposals were never answered";
    }
    return oracle_.finish();
}

std::vector<std::string> state_world::coverage() const {
    return {line("appends", log_.end()),
            line("applied", oracle_.count(proposal_answer::applied)),
            line("refused", oracle_.count(proposal_answer::refused)),
            line("unavailable", oracle_.count(proposal_answer::unavailable)),
            line("timed out", oracle_.count(proposal_answer::open)),
            line("outages", counts_.outages),
            line("slow spells", counts_.slow_spells),
            line("lost answers", counts_.lost_answers),
            line("retention losses", counts_.retention_losses),
            line("kills", counts_.kills),
            line("starts from a peer", counts_.peer_starts),
            line("starts from the log", counts_.log_starts),
            line("pauses", counts_.pauses),
            line("stranded", counts_.stranded)};
}

}  // namespace baobabrack::scenario
