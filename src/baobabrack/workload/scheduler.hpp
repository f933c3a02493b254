#ifndef BAOBABRACK_WORKLOAD_SCHEDULER_HPP
#define BAOBABRACK_WORKLOAD_SCHEDULER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "baobabrack/workload/capacity_forecast.hpp"
#include "baobabrack/workload/directory.hpp"
#include "baobabrack/workload/estimate_errors.hpp"
#include "baobabrack/workload/job_table.hpp"
#include "baobabrack/workload/preemption.hpp"
#include "baobabrack/workload/run_pace.hpp"
#include "baobabrack/workload/worker_table.hpp"

namespace baobabrack::workload {

enum class end_kind { done, failed, stopped, lease_lapsed, gang_broken, gang_incomplete, unknown };

std::string_view to_string(end_kind how);

/// A run that the worker says has ended.
struct run_end {
    /// Counts a worker life's ends from 1.
    std::uint64_t number = 0;
    task_name task;
    run_number run;
    end_kind how = end_kind::unknown;
    std::string checkpoint;
};

/// A run that a worker has, or whose start is under way there.
struct run_report {
    task_name task;
    run_number run;
    std::string checkpoint;
    std::uint32_t percent = 0;
};

/// What a worker answers when it is asked for its runs.
struct hold_lists {
    std::vector<run_report> runs;
    std::vector<run_end> ends;
    /// There are more ends than one answer lists, so what is missing here may be among them.
    bool more_ends = false;
};

/// A start that has not happened and cannot happen any more.
struct refused_run {
    task_name task;
    run_number run;
    std::string reason;
};

/// Everything that a guard knows of its worker.
struct worker_report {
    worker_facts facts;
    /// Whether the lists are the worker's own; a guard that has just started has none yet.
    bool lists_known = false;
    /// The worker does not answer; its lease is not extended until a report without this has been
    /// answered.
    bool lease_suspended = false;
    /// The longest lease that the worker has, from when the report was sent.
    duration lease_left{};
    /// Since the lists were taken.
    duration lists_age{};
    std::vector<run_report> runs;
    std::vector<run_end> ends;
    std::vector<refused_run> refusals;
};

/// A run that should be on a worker.
struct wanted_run {
    task_name task;
    run_number run;
    std::string payload;
    std::string checkpoint;
    resources needs;
};

struct unwanted_run {
    task_name task;
    run_number run;
};

/// What a guard should bring about on its worker.
struct worker_orders {
    worker_instance worker;
    /// Ends up to this number are stored.
    std::uint64_t ends_stored = 0;
    std::vector<wanted_run> starts;
    std::vector<unwanted_run> stops;
};

/// Progress of jobs that is to be stored before any order that follows from it goes out.
struct progress_batch {
    struct change {
        job_id job;
        job_progress progress;
    };
    std::vector<change> changes;
    std::map<worker_instance, std::uint64_t> ends;
};

/// Counts of decisions, for metrics.
struct scheduler_counts {
    std::uint64_t started = 0;
    std::uint64_t done = 0;
    std::uint64_t failed = 0;
    std::uint64_t stopped = 0;
    std::uint64_t lost = 0;
    std::uint64_t refused = 0;
    std::uint64_t preempted = 0;
};

/// Decides where each task runs. Pure: time and all news come from outside; what it decides is
/// taken as a batch to store, and orders only speak of what has been stored.
class scheduler {
public:
    struct options {
        /// Longest time that a grant extends a worker's lease by.
        duration lease = std::chrono::seconds{6};
        /// Bound on how much later than the grant was received a worker's lease may lapse.
        duration lease_slack = std::chrono::milliseconds{800};
        /// A host that has been silent this long gets no new runs.
        duration silence_limit = std::chrono::milliseconds{1800};
        /// A job of priority 0 within its workspace's guarantee has begun by then.
        duration reclaim_timeout = std::chrono::milliseconds{2700};
        /// Factor on run time for remote data or a spread gang.
        double remote_penalty = 3;
    };

    explicit scheduler(options opts) : options_(opts) {}

    /// Begins with the stored jobs. Runs on workers that do not report are given up once every
    /// lease that an earlier leader can have granted has lapsed.
    ///
    /// @param lapsed_after when that is
    void load(const job_table& book, time_point now, time_point lapsed_after);

    /// Takes in a job that has been stored, or its cancellation.
    void add(const stored_job& job, time_point now);
    void cancel(const job_id& id);

    /// Takes in what a guard says. Its worker's lease may be extended by `options::lease` from
    /// when the report was sent.
    void take(const worker_report& report, time_point now);

    /// Makes every decision that the news call for.
    ///
    /// @param config may be null before the first one is known: then nothing starts
    void decide(const directory* config, time_point now, wall_time wall_now);

    /// @return decisions since the last call; empty if there are none
    ///
    /// @param with_checkpoints whether new checkpoints alone are a reason to store a job
    progress_batch take_batch(bool with_checkpoints);

    /// The batch has been stored.
    void stored(const progress_batch& batch);

    /// @return what the host's worker should have and not have, given its newest report
    worker_orders orders_for(const worker_report& report);

    /// @return the hosts whose orders may have changed since the last call
    std::set<host_id> take_touched_hosts();

    const worker_table& workers() const { return workers_; }
    const scheduler_counts& counts() const { return counts_; }
    std::size_t open_jobs() const { return jobs_.size(); }

    /// Explains the newest decisions, one line each, and forgets them.
    struct note {
        std::string event;
        task_name task;
        run_number run;
        host_id host;
        std::string detail;
    };
    std::vector<note> take_notes();

private:
    struct task_extra {
        /// Highest run that has been stored.
        run_number stored_run;
        /// Where the run is; null unless it is assigned.
        worker_state* worker = nullptr;
        bool stopping = false;
        /// Has been moved from a slow worker before.
        bool moved = false;
        /// How often it has made room for others.
        std::uint32_t preempted = 0;
        time_point assigned{};
        run_pace pace;
    };
    struct open_job {
        job_spec spec;
        job_progress progress;
        bool cancelled = false;
        /// A task has failed as often as it may; only running tasks are left to stop.
        bool failed = false;
        time_point since{};
        /// By occurrence, step and task, as in `progress`.
        std::vector<std::vector<std::vector<task_extra>>> extra;
        bool dirty = false;
        /// Only checkpoints have changed.
        bool saved = false;
        /// Something has happened to the job since it was last looked at.
        bool unsettled = true;
        /// Where its runs have failed at once, and when last.
        std::map<host_id, time_point> failed_on;
    };
    struct task_ref {
        open_job* job = nullptr;
        std::uint32_t occurrence = 0;
        std::uint32_t step_number = 0;
        std::uint32_t index = 0;
        const step_spec* step = nullptr;
        std::vector<task_progress>* tasks = nullptr;
        std::vector<task_extra>* extras = nullptr;
        task_progress* task = nullptr;
        task_extra* extra = nullptr;
    };
    struct waiting_group {
        open_job* job = nullptr;
        task_group group;
        /// Of priority 0 and within its workspace's guarantee.
        bool entitled = false;
        /// Smaller comes first.
        double rank = 0;
    };

    /// The waiting groups of one service and the room for them, in one pass of placement.
    struct placement_pass {
        capacity_forecast room;
        time_point now;
        /// What a group of a priority may stop; found when it is first asked for.
        std::map<std::uint32_t, std::vector<victim>> victims;
    };

    static task_name name_of(const task_ref& ref);
    std::optional<task_ref> find(const task_name& task);
    void hold(const task_name& name, const task_ref& ref);
    void release(const task_name& name, const task_ref& ref);
    void open(open_job job);
    void inherit_runs(open_job& job, time_point now);
    void apply_end(const run_end& end, const worker_instance& place, time_point now);
    void apply_refusal(const refused_run& refusal, const worker_instance& place, time_point now);
    void apply_runs(const worker_report& report, time_point now);
    void lose_runs(const worker_instance& place, const std::string& why);
    void end_run(const task_name& name, const task_ref& ref, const std::string& checkpoint);
    void stop(const task_name& name, const task_ref& ref, const std::string& why);
    void watch_progress(const task_name& name, const run_report& run, const task_ref& ref,
                        time_point now);
    duration patience(const task_ref& ref) const;
    void take_for_stalled(const task_name& name, const task_ref& ref, time_point now);
    bool others_move(const worker_state& worker, const job_id& job, time_point now);
    double expected_rate(const task_ref& ref) const;
    double sibling_rate(const task_ref& ref) const;
    void watch_speed(worker_state& worker, time_point now);
    void learn_from(const task_ref& ref, time_point now);
    bool in_fast_place(const task_ref& ref) const;
    void move_from_slow(const task_name& name, const task_ref& ref, time_point now);
    template <typename Action>
    void for_each_task(open_job& job, Action action);
    void settle_jobs(wall_time wall_now);
    void settle(open_job& job, wall_time wall_now);
    void open_due_occurrences(open_job& job, wall_time wall_now);
    void stop_all(open_job& job);
    void stop_broken_gangs(open_job& job);
    bool anything_assigned(const open_job& job) const;
    void finish(open_job& job, job_phase phase, wall_time wall_now);
    candidates candidates_of(const service_id& service, time_point now);
    bool placement_due(const directory& config, time_point now);
    std::vector<waiting_group> waiting_groups(const directory& config, time_point now,
                                              wall_time wall_now);
    void add_waiting_groups(open_job& job, time_point now, std::vector<waiting_group>& into);
    std::vector<host_id> avoided_by(const open_job& job, time_point now) const;
    void place_groups(std::vector<waiting_group>& groups, time_point now);
    void place_group(waiting_group& waiting, placement_pass& pass);
    bool can_wait_until(const waiting_group& waiting, time_point begin, time_point now) const;
    bool place_late(waiting_group& waiting, placement_pass& pass);
    capacity_forecast view_room(const service_id& service, time_point now);
    time_point expected_end(const task_ref& ref, time_point now) const;
    void mark_entitled(const directory& config, std::vector<waiting_group>& groups) const;
    void assign(waiting_group& waiting, const placed_tasks& places, placement_pass& pass);
    bool make_room(const waiting_group& waiting, placement_pass& pass,
                   const placement_constraints& limits);
    const std::vector<victim>& victims_for(const waiting_group& waiting, placement_pass& pass);
    void stop_victim(const victim& chosen);
    void expire_silent(time_point now);
    duration lapse_bound(duration lease) const;
    void add_note(std::string event, const task_name& task, run_number run, const host_id& host,
                  std::string detail = {});

    options options_;
    worker_table workers_;
    std::map<job_id, open_job> jobs_;
    std::map<worker_instance, std::uint64_t> ends_taken_;
    std::map<worker_instance, std::uint64_t> ends_stored_;
    bool ends_dirty_ = false;
    std::map<host_id, std::set<task_name>> runs_on_;
    std::set<host_id> touched_;
    std::vector<note> notes_;
    std::vector<progress_batch::change> ended_jobs_;
    // When every lease that an earlier leader granted has lapsed.
    time_point inherited_lapse_{};
    // Whether something has happened that may let a waiting group run.
    bool room_changed_ = true;
    time_point placed_at_{};
    config_version placed_under_;
    estimate_errors estimate_errors_;
    scheduler_counts counts_;
};

template <typename Action>
void scheduler::for_each_task(open_job& job, Action action) {
    auto& occurrences = job.progress.occurrences;
    for (std::size_t at = 0; at < occurrences.size(); ++at) {
        if (occurrences[at].done) {
            continue;
        }
        for (std::size_t step = 0; step < job.spec.steps.size(); ++step) {
            auto& tasks = occurrences[at].steps[step];
            for (std::size_t index = 0; index < tasks.size(); ++index) {
                action(task_ref{.job = &job,
                                .occurrence = occurrences[at].number,
                                .step_number = static_cast<std::uint32_t>(step),
                                .index = static_cast<std::uint32_t>(index),
                                .step = &job.spec.steps[step],
                                .tasks = &tasks,
                                .extras = &job.extra[at][step],
                                .task = &tasks[index],
                                .extra = &job.extra[at][step][index]});
            }
        }
    }
}

}  // namespace baobabrack::workload

#endif
