#ifndef BAOBABRACK_RUNNER_STATE_PROCESS_HPP
#define BAOBABRACK_RUNNER_STATE_PROCESS_HPP

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "baobabrack/dispatch/claim_state.hpp"
#include "baobabrack/gangs/job_state.hpp"
#include "baobabrack/ledger/log_writer.hpp"
#include "baobabrack/ledger/replica.hpp"
#include "baobabrack/ledger/snapshot_writer.hpp"
#include "baobabrack/ledger/ticket_state.hpp"
#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/services/log_service.hpp"

namespace baobabrack::scenario {

/// The parts of the state that the fuzz area replays.
struct state_parts {
    ticket_state tickets{{.history = 200, .history_slack = 50}};
    claim_state claims;
    job_state jobs{job_state::options{}};

    std::vector<replicated_state*> all() { return {&tickets, &claims, &jobs}; }
};

/// One process's view of the loop: while it is paused, what is due waits for it.
class pausable_runtime : public runtime {
public:
    explicit pausable_runtime(runtime& loop) : loop_(loop) {}

    time_point now() const override { return loop_.now(); }
    wall_time wall_now() const override { return loop_.wall_now(); }
    timer_id schedule(duration delay, std::function<void()> action) override;
    void cancel(timer_id timer) override { loop_.cancel(timer); }
    std::uint64_t random() override { return loop_.random(); }

    /// @return what runs an action now, or on `resume`; it may outlive the process
    std::function<void(std::function<void()>)> passage() const;

    void pause() { gate_->paused = true; }
    void resume();
    bool paused() const { return gate_->paused; }

private:
    struct gate {
        bool paused = false;
        std::vector<std::function<void()>> due;
    };

    static void pass(gate& through, std::function<void()> action);

    runtime& loop_;
    std::shared_ptr<gate> gate_ = std::make_shared<gate>();
};

/// Deliberate faults between a process and the log.
enum class log_lie {
    none,
    /// A read gives an entry without its payload.
    blank_entry,
    /// An append that took effect is answered as `unavailable`.
    false_unavailable,
    /// Every append also goes out under another sequence.
    new_sequence,
};

/// One process's connection to the log.
class state_connection : public log_service {
public:
    state_connection(pausable_runtime& loop, log_service& log) : loop_(loop), log_(log) {}

    void append(std::string payload, append_callback done) override;
    void read(log_offset from, std::size_t most, read_callback done) override;

    /// Lies from now on.
    void lie(log_lie how) { lie_ = how; }

private:
    static std::string resequence(const std::string& payload);
    static result<log_page> distort(result<log_page> answer, log_lie lie);

    pausable_runtime& loop_;
    log_service& log_;
    log_lie lie_ = log_lie::none;
};

/// One entry process with its ledger.
class state_process {
public:
    state_process(runtime& loop, log_service& log, const std::string& id, std::uint64_t version);

    pausable_runtime clock;
    state_connection log;
    state_parts parts;
    replica reader;
    log_writer writer;
    snapshot_writer snapshots;
    // What the invariants saw last.
    log_offset checked_offset{UINT64_MAX};
    ticket_number highest_seen;
};

}  // namespace baobabrack::scenario

#endif
