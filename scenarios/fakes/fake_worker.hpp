#ifndef BAOBABRACK_FAKES_FAKE_WORKER_HPP
#define BAOBABRACK_FAKES_FAKE_WORKER_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "baobabrack/platform.pb.h"
#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/resources.hpp"

namespace baobabrack::fakes {

/// How a task behaves, parsed from its command: "run_ms=5000[;fail][;fail_at_ms=N]".
struct task_command {
    std::chrono::milliseconds run_time{1000};
    /// Progress at which the task fails; without a value it succeeds.
    std::optional<std::chrono::milliseconds> fail_at;

    static task_command parse(const std::string& text);
};

/// A task that is prepared or running on a worker.
struct held_task {
    job_id job;
    attempt_number attempt;
    resources size;
    bool running = false;
};

/// One worker in virtual time, with leases on its own clock, fencing, reports and checkpoints.
class fake_worker {
public:
    struct options {
        /// Interval at which a running task's report is renewed, and so the age of its usage.
        duration usage_lag = std::chrono::seconds{10};
        /// Share of the declared CPU and memory that tasks actually use, in percent.
        std::uint32_t usage_percent = 100;
        /// Injected fault: leases never expire.
        bool ignore_leases = false;
        /// Accepts every task, so that only the protocol prevents overcommitment.
        bool ignore_capacity = false;
        /// Injected fault: fences and tokens are not checked.
        bool ignore_fences = false;
    };

    fake_worker(runtime& loop, wire::WorkerFacts facts, options opts);

    /// Carries out a call and returns the reply to it.
    wire::WorkerReply handle(const wire::WorkerCall& call);

    /// Suspends the host: no task makes progress until `resume`. The owner must not call `handle`
    /// meanwhile.
    void pause();

    /// Resumes the host; first ends the tasks whose leases have expired meanwhile.
    void resume();

    bool paused() const { return paused_; }

    /// While set, every task that starts fails immediately.
    void set_fail_all_tasks(bool fail) { fail_all_tasks_ = fail; }

    const wire::WorkerFacts& facts() const { return facts_; }

    /// @return the tasks that are prepared or running
    std::vector<held_task> held() const;

    /// Called with job and attempt of each task that completes successfully.
    std::function<void(const job_id&, attempt_number)> on_finished;

private:
    using task_key = std::pair<std::string, std::uint32_t>;

    struct task_state {
        wire::TaskPhase phase = wire::TASK_PREPARED;
        resources size;
        std::uint64_t token = 0;
        time_point expires{};
        task_command command;
        std::chrono::microseconds progress{};
        std::chrono::milliseconds checkpoint{};
        std::uint32_t percent = 100;
        time_point progress_at{};
        time_point last_reported{};
    };

    wire::WorkerStatus prepare(const wire::PrepareTask& call);
    wire::WorkerStatus start(const wire::StartTask& call);
    wire::WorkerStatus checkpoint(const wire::CheckpointTask& call, wire::WorkerReply& reply);
    wire::WorkerStatus stop(const wire::StopTask& call, wire::WorkerReply& reply);
    wire::WorkerStatus throttle(const wire::ThrottleTask& call);
    wire::WorkerStatus sync(const wire::SyncWorker& call, wire::WorkerReply& reply);

    bool is_fenced(const wire::TaskKey& task) const;
    resources free_capacity() const;
    void advance_tasks();
    void update_progress(task_state& task);
    void report(const task_key& key, task_state& task, const std::string& message);
    void end_task(const task_key& key, wire::TaskPhase phase, const std::string& message);
    std::optional<time_point> next_event(const task_state& task) const;
    void arm_timer();

    runtime& loop_;
    wire::WorkerFacts facts_;
    options options_;
    scoped_timer timer_;
    std::map<task_key, task_state> tasks_;
    std::map<task_key, wire::TaskReport> reports_;
    std::map<std::string, std::uint32_t> highest_fenced_attempts_;
    std::map<std::string, std::uint64_t> highest_tokens_;
    std::uint64_t sequence_ = 0;
    bool paused_ = false;
    bool fail_all_tasks_ = false;
};

}  // namespace baobabrack::fakes

#endif
