#ifndef BAOBABRACK_RUNNER_GANGS_PROCESS_HPP
#define BAOBABRACK_RUNNER_GANGS_PROCESS_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "baobabrack/gangs/gang_runner.hpp"
#include "baobabrack/gangs/job_state.hpp"
#include "baobabrack/gangs/responsibility.hpp"
#include "baobabrack/ledger/log_writer.hpp"
#include "baobabrack/ledger/replica.hpp"
#include "baobabrack/metrics/registry.hpp"
#include "fakes/fake_planner.hpp"
#include "fakes/fake_workers.hpp"

namespace baobabrack::scenario {

/// Deliberate faults of an entry and its links, each of which must break an invariant.
enum class gangs_lie {
    none,
    /// Stops are answered as carried out without reaching the worker.
    stop_not_sent,
    /// Running tasks are reported as finished.
    false_finish,
    /// Every call to a lost worker is answered as if all was well.
    hidden_loss,
    /// Every entry is said to have applied every record.
    false_all_past,
    /// An entry takes its replay for current whatever it hears.
    false_confirmed,
};

/// One process's view of the loop: while it is paused, what is due waits for it.
class gated_loop : public runtime {
public:
    explicit gated_loop(runtime& loop) : loop_(loop), gate_(std::make_shared<gate>()) {}
    ~gated_loop() override {
        gate_->actions.clear();
        gate_->dead = true;
    }

    time_point now() const override { return loop_.now(); }
    wall_time wall_now() const override { return loop_.wall_now(); }
    timer_id schedule(duration delay, std::function<void()> action) override;
    void cancel(timer_id timer) override;
    std::uint64_t random() override { return loop_.random(); }

    /// Runs an action now, on `resume`, or never if the process is gone by then.
    std::function<void(std::function<void()>)> passage();

    void pause() { gate_->paused = true; }
    void resume();
    bool paused() const { return gate_->paused; }

private:
    struct gate {
        bool paused = false;
        // Timers keep the gate, so that it may outlive its process.
        bool dead = false;
        std::uint64_t next = 1;
        std::map<std::uint64_t, std::function<void()>> actions;
        std::vector<std::uint64_t> due;
    };

    static std::uint64_t keep(gate& through, std::function<void()> action);
    static void pass(gate& through, std::uint64_t id);

    runtime& loop_;
    std::shared_ptr<gate> gate_;
};

/// One process's connection to the log, which may be cut.
class gated_log : public log_service {
public:
    gated_log(gated_loop& loop, log_service& log) : loop_(loop), log_(log) {}

    void append(std::string payload, append_callback done) override;
    void read(log_offset from, std::size_t most, read_callback done) override;

    void set_cut(bool cut) { cut_ = cut; }

private:
    gated_loop& loop_;
    log_service& log_;
    bool cut_ = false;
};

/// One process's links to the workers.
class gated_workers : public worker_service {
public:
    gated_workers(gated_loop& loop, fakes::fake_workers& workers, std::string caller)
        : loop_(loop), workers_(workers), caller_(std::move(caller)) {}

    void call(const worker_id& worker, const wire::WorkerCall& call, reply_callback done) override;

    void set_lie(gangs_lie lie) { lie_ = lie; }

private:
    static void hide_loss(const wire::WorkerCall& call, result<wire::WorkerReply>& reply);
    static void falsify(wire::WorkerReply& reply);

    gated_loop& loop_;
    fakes::fake_workers& workers_;
    std::string caller_;
    gangs_lie lie_ = gangs_lie::none;
};

/// What the entries have last said of themselves.
struct heartbeat_board {
    struct beat {
        time_point at{};
        log_offset next;
    };
    std::map<entry_id, beat> beats;
    std::vector<entry_id> members;
};

class gangs_process;

/// Divides jobs and workers over the entries that have been heard lately.
class gangs_duty : public responsibility {
public:
    gangs_duty(const gangs_process& owner, heartbeat_board& board) : owner_(owner), board_(board) {}

    bool is_mine(const job_id& job) const override;
    bool is_mine(const worker_id& worker) const override;
    bool all_past(log_offset offset) const override;
    duration unconfirmed() const override;

    /// Cuts this entry from its peers.
    void set_cut(bool cut) { cut_ = cut; }
    bool cut() const { return cut_; }
    void set_lie(gangs_lie lie) { lie_ = lie; }

private:
    bool hears(const entry_id& peer) const;
    bool picks_me(const std::string& key) const;

    const gangs_process& owner_;
    heartbeat_board& board_;
    bool cut_ = false;
    gangs_lie lie_ = gangs_lie::none;
};

/// One entry process with its replica and its gang runner.
class gangs_process {
public:
    gangs_process(runtime& loop, log_service& platform_log, fakes::fake_workers& workers,
                  heartbeat_board& board, const entry_id& id, std::uint64_t version,
                  const gang_options& options);

    void set_lie(gangs_lie lie);

    entry_id id;
    gated_loop clock;
    gated_log log;
    gated_workers workers;
    job_state state{{}};
    replica reader;
    log_writer writer;
    fakes::fake_planner planning;
    gangs_duty duty;
    metrics_registry metrics;
    gang_runner runner;
};

}  // namespace baobabrack::scenario

#endif
