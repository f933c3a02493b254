#include "runner/state_process.hpp"

#include <utility>

namespace baobabrack::scenario {

namespace {

constexpr std::uint64_t sequence_jump = 1'000'000;

}  // namespace

timer_id pausable_runtime::schedule(duration delay, std::function<void()> action) {
    return loop_.schedule(
        delay, [through = gate_, action = std::move(action)] { pass(*through, action); });
}

std::function<void(std::function<void()>)> pausable_runtime::passage() const {
    return [through = gate_](std::function<void()> action) { pass(*through, std::move(action)); };
}

void pausable_runtime::pass(gate& through, std::function<void()> action) {
    if (through.paused) {
        through.due.push_back(std::move(action));
        return;
    }
    action();
}

void pausable_runtime::resume() {
    gate_->paused = false;
    const auto due = std::exchange(gate_->due, {});
    for (const auto& action : due) {
        action();
    }
}

void state_connection::append(std::string payload, append_callback done) {
    const auto copy = lie_ == log_lie::new_sequence ? resequence(payload) : "";
    log_.append(std::move(payload), [run = loop_.passage(), lie = lie_,
                                     done = std::move(done)](const result<log_offset>& answer) {
        if (lie == log_lie::false_unavailable && answer) {
            run([done] { done(failure{failure_kind::unavailable, "a lie", ""}); });
            return;
        }
        run([done, answer] { done(answer); });
    });
    if (!copy.empty()) {
        log_.append(copy, [](const result<log_offset>&) {});
    }
}

/// @return the batch as another one with the same records
std::string state_connection::resequence(const std::string& payload) {
    wire::LogBatch batch;
    batch.ParseFromString(payload);
    batch.set_sequence(batch.sequence() + sequence_jump);
    return batch.SerializeAsString();
}

void state_connection::read(log_offset from, std::size_t most, read_callback done) {
    log_.read(from, most,
              [run = loop_.passage(), lie = lie_, done = std::move(done)](result<log_page> answer) {
                  run([done, shown = distort(std::move(answer), lie)] { done(shown); });
              });
}

result<log_page> state_connection::distort(result<log_page> answer, log_lie lie) {
    if (lie != log_lie::blank_entry || !answer || answer.value().entries.empty()) {
        return answer;
    }
    answer.value().entries.front().payload.clear();
    return answer;
}

state_process::state_process(runtime& loop, log_service& service, const std::string& id,
                             std::uint64_t version)
    : clock(loop),
      log(clock, service),
      reader(clock, log, {.page_entries = 32}, parts.all()),
      writer(clock, log, reader, {.writer = entry_id{id}, .version = incarnation{version}}),
      snapshots(clock, reader, writer,
                {.writer = entry_id{id},
                 .version = incarnation{version},
                 .interval_entries = 60,
                 .check_interval = std::chrono::milliseconds{300},
                 .most_wait = std::chrono::milliseconds{500},
                 .other_writer_limit = std::chrono::seconds{5},
                 .chunk_bytes = 4'096,
                 .chunk_patience = std::chrono::seconds{5}}) {
    reader.start();
    snapshots.start();
}

}  // namespace baobabrack::scenario
