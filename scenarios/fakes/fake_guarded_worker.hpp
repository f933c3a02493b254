#ifndef BAOBABRACK_FAKES_FAKE_GUARDED_WORKER_HPP
#define BAOBABRACK_FAKES_FAKE_GUARDED_WORKER_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/workload/worker_port.hpp"

namespace baobabrack::fakes {

/// Observes the runs that a worker actually executes, so that tests can check invariants.
class run_listener {
public:
    run_listener() = default;
    run_listener(const run_listener&) = delete;
    run_listener& operator=(const run_listener&) = delete;
    virtual ~run_listener() = default;

    virtual void run_started(const workload::task_name& task, workload::run_number run,
                             const workload::worker_instance& instance) = 0;

    /// @param outcome the outcome that the worker lists; empty if the worker crashed
    virtual void run_ended(const workload::task_name& task, workload::run_number run,
                           std::optional<workload::run_outcome> outcome) = 0;

    /// Called when the worker removes an ended run from its list because the caller has
    /// acknowledged that it is stored.
    ///
    /// @param lease_lapsed whether the worker's lease has lapsed since the run ended
    virtual void end_acknowledged(const workload::ended_run& end, bool lease_lapsed) = 0;

    /// Called when a start makes the runs of a worker need more resources than it has announced.
    virtual void over_capacity(const workload::worker_instance& instance) = 0;
};

/// A worker that checks leases and fencing tokens, but not its capacity, before it starts a run,
/// and lists ended runs until they are acknowledged. A call names the worker's id only, so after a
/// crash the new instance carries out calls that were meant for the previous one.
class fake_guarded_worker {
public:
    struct options {
        workload::host_id host;
        resources capacity;
        rack_id rack;
        data_centre_id data_centre{"dc"};
        /// Duration of a run without faults.
        duration run_time = std::chrono::milliseconds{900};
        duration stop_time = std::chrono::milliseconds{150};
        /// Time until the worker is back after a run has crashed it.
        duration restart_time = std::chrono::seconds{3};
        /// Time for which a start may still rely on the capacity before it shrank.
        duration capacity_notice = std::chrono::milliseconds{3700};
        /// A longer lease is shortened to this.
        duration max_lease = std::chrono::seconds{10};
        /// Ended runs that one reply lists at most, the oldest first.
        std::size_t max_listed_ends = 500;
        /// Returns how long after its start a run of the task crashes the worker, if it does.
        std::function<std::optional<duration>(const workload::task_name&)> crash_delay;
        /// Returns how long a run of the task takes, if not as long as the others.
        std::function<std::optional<duration>(const workload::task_name&)> run_time_of;
    };
    struct faults {
        /// Share of the calls that time out and are carried out up to six seconds later.
        double late_calls = 0;
        /// No call is answered or carried out.
        bool silent = false;
        /// Every run that starts fails at its end.
        bool fail_all_runs = false;
        /// Runs make no progress and do not complete.
        bool stalled = false;
        /// Factor by which runs take longer.
        double slowdown = 1;
    };

    fake_guarded_worker(options opts, runtime& loop, run_listener& listener);
    fake_guarded_worker(const fake_guarded_worker&) = delete;
    fake_guarded_worker& operator=(const fake_guarded_worker&) = delete;

    faults active_faults;
    bool draining = false;

    /// Drops all runs, ended runs, the lease and the fencing token; continues as a new instance.
    ///
    /// @param restart_time how long the new instance takes to respond
    void crash(duration restart_time = {});

    /// @return whether the worker has crashed and is not back yet
    bool is_down() const { return loop_.now() < down_until_; }

    void set_capacity(const resources& capacity);
    const resources& capacity() const { return options_.capacity; }

    workload::worker_facts facts() const;
    workload::worker_time clock() const;
    wall_time began() const;
    std::size_t running() const { return runs_.size(); }

    workload::renew_reply renew(const workload::worker_port::renew_call& call);
    workload::call_reply start(const workload::worker_port::start_call& call);
    workload::call_reply stop(const workload::worker_port::stop_call& call);

    runtime& loop() { return loop_; }
    /// @return the number of the running instance
    std::uint64_t version() const { return version_; }
    bool has_unacknowledged_ends() const { return !ends_.empty(); }

private:
    using run_key = std::pair<workload::task_name, workload::run_number>;
    struct active_run {
        resources needs;
        duration run_time{};
        time_point started_at{};
        bool stopping = false;
    };

    workload::call_reply reply(workload::call_outcome outcome) const {
        return {.outcome = outcome, .clock = clock()};
    }
    bool fenced(workload::fencing_token token);
    void extend_lease(const std::optional<workload::worker_time>& lease);
    void check_lease();
    void end_run(const run_key& key, workload::run_outcome outcome, std::uint64_t version);
    duration run_time(const workload::task_name& task) const;
    std::uint32_t percent(const active_run& run) const;
    bool is_over_capacity() const;
    void crash_if_task_does(const run_key& key);

    options options_;
    runtime& loop_;
    run_listener& listener_;
    std::uint64_t version_ = 1;
    time_point instance_started_at_{};
    time_point down_until_{};
    /// Earlier capacities, each with the time at which it ended.
    std::vector<std::pair<time_point, resources>> earlier_capacities_;
    workload::fencing_token highest_token_;
    std::int64_t lease_ms_ = 0;
    std::map<run_key, active_run> runs_;
    std::map<workload::task_name, workload::run_number> highest_ended_;
    std::vector<workload::ended_run> ends_;
    std::uint64_t last_end_sequence_ = 0;
    // The latest end before the lease lapsed.
    std::uint64_t last_end_before_lapse_ = 0;
};

/// A guard's connection to its worker. No callback runs after its destruction.
class fake_worker_link : public workload::worker_port {
public:
    explicit fake_worker_link(fake_guarded_worker& worker) : worker_(worker) {}

    void renew(const renew_call& call, std::function<void(workload::renew_reply)> done) override;
    void start(const start_call& call, std::function<void(workload::call_reply)> done) override;
    void stop(const stop_call& call, std::function<void(workload::call_reply)> done) override;

private:
    void schedule_if_alive(duration delay_time, std::function<void()> action);
    bool leave_unanswered(duration timeout, const std::function<void()>& unanswered,
                          std::function<void()> late_effect);
    void wait_for_end(const renew_call& call, time_point until, std::uint64_t version,
                      const std::function<void(workload::renew_reply)>& done);

    fake_guarded_worker& worker_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace baobabrack::fakes

#endif
