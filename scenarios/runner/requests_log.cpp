#include "runner/requests_log.hpp"

#include <algorithm>
#include <utility>

namespace baobabrack::scenario {

namespace {

using namespace std::chrono_literals;

constexpr duration append_retry = 20ms;

}  // namespace

void requests_log::append(wire::Record record, entry_id writer, incarnation version,
                          std::uint64_t proposal) {
    record_position position{.offset = log_offset{lines_.size()},
                             .written_at = loop_.wall_now(),
                             .writer = std::move(writer),
                             .writer_incarnation = version};
    lines_.push_back({std::move(record), std::move(position), proposal});
}

requests_replica::requests_replica(runtime& loop, requests_log& log,
                                   std::vector<replicated_state*> states, options opts)
    : loop_(loop), log_(log), states_(std::move(states)), options_(std::move(opts)) {
}

void requests_replica::propose(wire::Record record, duration patience, callback done) {
    const auto number = ++last_proposal_;
    proposals_.emplace(number, proposal{.done = std::move(done),
                                        .record = std::move(record),
                                        .give_up = loop_.now() + patience});
    const std::weak_ptr<bool> alive = alive_;
    loop_.schedule(patience, [this, alive, number] {
        if (!alive.expired()) {
            give_up(number);
        }
    });
    try_append(number);
}

void requests_replica::try_append(std::uint64_t number) {
    const auto found = proposals_.find(number);
    if (found == proposals_.end()) {
        return;
    }
    const std::weak_ptr<bool> alive = alive_;
    if (!reachable()) {
        loop_.schedule(append_retry, [this, alive, number] {
            if (!alive.expired()) {
                try_append(number);
            }
        });
        return;
    }
    found->second.sent = true;
    auto delay = options_.append_delay;
    if (log_.next_is_late()) {
        delay += duration{static_cast<duration::rep>(
            loop_.random() % static_cast<std::uint64_t>(options_.longest_late_append.count()))};
    }
    // Once sent, the append goes on without its writer.
    loop_.schedule(delay, [&log = log_, record = found->second.record, self = options_.self,
                           version = options_.version, number]() mutable {
        log.append(std::move(record), self, version, number);
    });
}

void requests_replica::give_up(std::uint64_t number) {
    const auto found = proposals_.find(number);
    if (found == proposals_.end()) {
        return;
    }
    const auto ended = std::move(found->second);
    proposals_.erase(found);
    if (ended.sent) {
        ended.done(failure{failure_kind::timed_out, "no answer of the log", "read it later"});
    } else {
        ended.done(failure{failure_kind::unavailable, "the log is down", "retry later"});
    }
}

void requests_replica::applied(std::uint64_t number, const result<record_position>& position) {
    const auto found = proposals_.find(number);
    if (found == proposals_.end()) {
        return;
    }
    const auto ended = std::move(found->second);
    proposals_.erase(found);
    ended.done(position);
}

bool requests_replica::read() {
    if (!reachable()) {
        return false;
    }
    const std::weak_ptr<bool> alive = alive_;
    while (next_ < log_.lines().size()) {
        const auto& line = log_.lines()[next_++];
        result<record_position> outcome = line.position;
        for (auto* state : states_) {
            if (!state->handles(line.record)) {
                continue;
            }
            if (auto done = state->apply(line.record, line.position); !done) {
                outcome = std::move(done).error();
                break;
            }
        }
        const bool mine = line.position.writer == options_.self &&
                          line.position.writer_incarnation == options_.version;
        if (mine) {
            applied(line.proposal, outcome);
        }
        if (alive.expired()) {
            return false;
        }
    }
    return true;
}

}  // namespace baobabrack::scenario
