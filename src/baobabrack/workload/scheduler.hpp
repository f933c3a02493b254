#ifndef BAOBABRACK_WORKLOAD_SCHEDULER_HPP
#define BAOBABRACK_WORKLOAD_SCHEDULER_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "baobabrack/workload/borrowed_capacity.hpp"
#include "baobabrack/workload/capacity_forecast.hpp"
#include "baobabrack/workload/crash_record.hpp"
#include "baobabrack/workload/job_table.hpp"
#include "baobabrack/workload/lost_work.hpp"
#include "baobabrack/workload/order_selection.hpp"
#include "baobabrack/workload/preemption.hpp"
#include "baobabrack/workload/progress_batch.hpp"
#include "baobabrack/workload/progress_rate.hpp"
#include "baobabrack/workload/run_time_estimates.hpp"
#include "baobabrack/workload/scheduler_counts.hpp"
#include "baobabrack/workload/wait_cause.hpp"
#include "baobabrack/workload/worker_orders.hpp"
#include "baobabrack/workload/worker_report.hpp"
#include "baobabrack/workload/worker_table.hpp"
#include "baobabrack/workload/workload_config.hpp"
#include "baobabrack/workload/workspace_registry.hpp"

namespace baobabrack::workload {

/// Decides where each task runs.
///
/// Does no I/O and reads no clock: the caller passes in the time and all events. The caller stores
/// the returned batches; orders refer only to assignments that have been stored.
class scheduler {
public:
    struct options {
        /// Maximum time by which one grant extends a worker's lease.
        duration lease = std::chrono::seconds{6};
        /// Upper bound on how much longer a worker's lease may last than the grant, counted from
        /// when the grant was received.
        duration lease_slack = std::chrono::milliseconds{800};
        /// A host whose last report is older than this gets no new runs.
        duration silence_limit = std::chrono::milliseconds{1800};
        /// A job of priority 0 within its workspace's guarantee starts within this time.
        duration reclaim_timeout = std::chrono::milliseconds{2700};
        /// Usual time from the decision to stop a run until its end is reported.
        duration stop_delay = std::chrono::milliseconds{300};
        /// Longest such time.
        duration max_stop_delay = std::chrono::milliseconds{500};
        /// Factor by which a task runs longer away from its data or in a gang across racks.
        double remote_penalty = 3;
        /// What the progress record of a job may have, in bytes.
        std::size_t max_progress_bytes = 262'144;
        order_limits orders;
    };

    explicit scheduler(options opts) : options_(opts) {}

    /// Loads the stored jobs. Runs on workers that do not report are lost once every lease that an
    /// earlier leader may have granted has expired.
    ///
    /// @param leases_expired_at when the last of these leases expires
    void load(const job_table& book, time_point now, time_point leases_expired_at);

    /// Notes which workspace each job belongs to under the latest configuration.
    ///
    /// @param workspaces outlives this object, and is used for jobs that are added later
    void update_owners(const workspace_registry& workspaces);

    /// Adds a job that has been stored, or cancels it.
    void add_job(const stored_job& job, time_point now);
    void cancel_job(const job_id& id);

    /// Processes the report of a guard. Answering it may extend the worker's lease by
    /// `options::lease` from when the report was sent.
    ///
    /// @return whether the lease may be extended: not by a reply to a report that this scheduler
    ///         ignores, as it would expect the lease to expire earlier
    bool handle_report(const worker_report& report, time_point now);

    /// Sets the data centres in which nothing may start. The next decision withdraws the runs there
    /// that are not known to have begun.
    void set_evacuated(const std::set<data_centre_id>& evacuated);

    /// Updates the state of all jobs and places waiting tasks.
    ///
    /// @param config may be null while the configuration is not known: then nothing starts
    void decide(const workload_config* config, time_point now, wall_time wall_now);

    /// Returns the changes since the last call and clears them.
    ///
    /// @param with_checkpoints whether a job is included if only its checkpoints have changed
    progress_batch drain_batch(bool with_checkpoints);

    /// Includes the applied ends in the next batch again, as they were not stored with the last
    /// one.
    void store_ends_again() { ends_dirty_ = true; }

    /// Gives up a job whose progress cannot be stored in any detail. Its runs are stopped.
    ///
    /// @return its progress, as ended
    job_progress give_up_unstorable(const job_id& id, wall_time wall_now);

    /// Marks the changes of a batch as stored.
    void mark_stored(const progress_batch& batch);

    /// @return the runs to start and to stop on the worker, based on its latest report, as far as
    ///         `options::orders` allows. None starts in an evacuated data centre.
    worker_orders orders_for(const worker_report& report);

    /// @return the hosts whose orders may have changed since the last call
    std::set<host_id> drain_changed_hosts();

    const worker_table& workers() const { return workers_; }
    const scheduler_counts& counts() const { return counts_; }

    /// @return the work that was lost since the last call
    lost_work_totals drain_lost_work() { return std::exchange(lost_work_, {}); }

    std::size_t open_jobs() const { return jobs_.size(); }
    std::size_t unread_jobs() const { return unread_jobs_.size(); }

    /// A decision and its reason, for the log.
    struct decision_event {
        std::string event;
        task_name task;
        run_number run;
        host_id host;
        std::string detail;
        /// What became of the time of a run that has ended.
        std::optional<run_account> account;
        /// What a waiting job waits for, and why most of the excluded workers are left out.
        std::optional<wait_cause> waits_for;
        std::string excluded_as;
    };
    std::vector<decision_event> drain_decision_events();

private:
    struct task_state {
        /// Highest run number that has been stored.
        run_number stored_run;
        /// The worker of the current run, or null if the task is not assigned.
        worker_state* worker = nullptr;
        bool stopping = false;
        /// Why this leader has stopped the current run.
        std::optional<stop_cause> stopped_for;
        /// An earlier leader has assigned the current run.
        bool restored = false;
        /// Whether the task has been moved from a slow worker before.
        bool moved = false;
        /// How often runs of the task have been preempted.
        std::uint32_t preemption_count = 0;
        /// How often runs of the task have been stopped because they made no progress.
        std::uint32_t stall_count = 0;
        time_point assigned_at{};
        /// When a forecast first saw that the current run is being stopped; zero if none has.
        time_point stopping_since{};
        /// The guard has sent the start of the current run.
        bool sent = false;
        /// The worker has confirmed that the current run has begun.
        bool begun = false;
        /// When the worker's lists first and last contained the current run; zero if they have
        /// not.
        time_point listed_since{};
        time_point listed_until{};
        /// When the latest checkpoint of the current run was reported; zero if it has none.
        time_point checkpoint_at{};
        /// Since when the trial of the task has been delayed; zero if it has not.
        time_point trial_delayed_since{};
        progress_rate measured_rate;
    };
    struct open_job {
        /// Its run time estimates are corrected as runs of the queue end.
        job_spec spec;
        /// The estimates that were given with the job, by step.
        std::vector<duration> declared_run_times;
        /// The service to which the newest configuration sends the queue, and that configuration.
        service_id service;
        config_version routed_by;
        /// The present name of the job's workspace; empty if it has none, or has been removed.
        workspace_id workspace;
        job_progress progress;
        bool cancelled = false;
        /// A task has used up its attempts, or crashes workers. The job ends once its running tasks
        /// have stopped.
        bool failed = false;
        /// Its progress cannot be stored, so that it has failed.
        bool unstorable = false;
        /// Occurrences are due that have to wait for earlier ones.
        bool occurrences_delayed = false;
        std::string failure_reason;
        time_point added_at{};
        /// When the log last told why the job waits.
        time_point wait_reported_at{};
        /// Indexed by occurrence, step and task, as in `progress`.
        std::vector<std::vector<std::vector<task_state>>> task_states;
        bool dirty = false;
        /// Checkpoints have changed since the last batch.
        bool checkpoints_dirty = false;
        /// The job has changed since `update_job` last ran for it.
        bool needs_update = true;
        /// Hosts where runs of the job failed right after their start or are suspected of a crash,
        /// with the time of the last such failure.
        std::map<host_id, time_point> quick_failures;
    };
    struct task_ref {
        open_job* job = nullptr;
        std::uint32_t occurrence = 0;
        std::uint32_t step_number = 0;
        std::uint32_t index = 0;
        const step_spec* step = nullptr;
        std::vector<task_progress>* tasks = nullptr;
        std::vector<task_state>* states = nullptr;
        task_progress* task = nullptr;
        task_state* state = nullptr;
    };
    /// When a worker was down.
    struct outage {
        host_id host;
        /// When it last returned lists; zero if this leader does not know.
        time_point last_lists{};
        /// When its next instance began, or the latest time at which it may have.
        time_point next_began{};
    };
    /// A run that was lost in a crash of its worker.
    struct lost_run {
        task_name task;
        crashed_run run;
        bool suspect = false;
        crash_circumstances crash;
        outage when;
        /// The guard has not sent the start to the worker.
        bool never_sent = false;
    };
    /// What tells that a worker has crashed.
    struct crash_sign {
        std::string text;
        /// The instance that is there instead; without a worker id if there is none yet.
        worker_instance current;
        /// When the current instance began, or the latest time at which it may have.
        time_point began{};
        /// The instance of which the guard has told which starts it has sent.
        std::optional<worker_instance> starts_known;
    };
    struct waiting_group {
        open_job* job = nullptr;
        task_group group;
        /// The job has priority 0 and its workspace is within its guarantee.
        bool entitled = false;
        /// Groups of lower rank are placed first.
        double rank = 0;
    };

    /// State of one placement pass over the waiting groups of a service.
    struct placement_pass {
        capacity_forecast forecast;
        time_point now;
        /// What each workspace uses of its guarantee.
        const guarantee_uses* guarantees = nullptr;
        /// The runs that a group may preempt, by the priority of the group; filled on first use.
        std::map<std::uint32_t, std::vector<victim>> victims;
    };

    static task_name name_of(const task_ref& ref);
    std::optional<task_ref> find(const task_name& task);
    void allocate_run(const task_name& name, const task_ref& ref);
    void release_run(const task_name& name, const task_ref& ref);
    void insert_job(open_job job);
    workspace_id workspace_of(const job_spec& spec) const;
    void restore_assignments(open_job& job, time_point now);
    void apply_end(const ended_run& end, const worker_instance& place, time_point now);
    void apply_end_of_lost_run(const ended_run& end, const task_ref& ref);
    void apply_end_of_earlier_run(const ended_run& end, const task_ref& ref);
    void apply_refusal(const refused_run& refusal, const worker_instance& place, time_point now);
    static void mark_begun(const task_ref& ref);
    void apply_runs(const worker_report& report, time_point now);
    void mark_runs_lost(const worker_instance& place, lost_work_cause cause,
                        const std::string& why);
    void account_run(const task_ref& ref, std::optional<lost_work_cause> cause, time_point ended);
    resources used_by(const worker_instance& instance);
    std::vector<task_ref> runs_of_other_instances(const worker_instance& place);
    void handle_new_instance(worker_state& worker, const worker_report& report, time_point now);
    void record_sent_runs(const replaced_worker& replaced);
    void adopt_runs(const worker_report& report);
    void adopt_run(const task_name& task, run_number run, const worker_instance& place);
    void handle_worker_crash(worker_state& worker, const crash_sign& sign, time_point now);
    crash_scope scope_of_crash(const worker_state& worker, time_point now);
    bool has_suspicious_runs(const host_id& host);
    bool is_silent(const worker_state& worker, time_point now) const;
    static bool survived(const worker_state& worker, const outage& other);
    bool is_power_lost(const outage& crash) const;
    void note_lost_run(const task_ref& ref, lost_run lost);
    void judge_lost_runs(time_point now);
    std::string judge_lost_run(const task_ref& ref, const lost_run& lost, time_point now);
    void update_trial(const task_name& name, const task_ref& ref);
    bool has_trial(const job_id& job) const;
    std::set<host_id> trial_hosts();
    duration confirmed_run_time(const task_ref& ref) const;
    void requeue_task(const task_name& name, const task_ref& ref, const std::string& checkpoint);
    void requeue_lost_task(const task_name& name, const task_ref& ref);
    void stop_run(const task_name& name, const task_ref& ref, stop_cause cause,
                  const std::string& detail = {});
    void check_progress(const task_name& name, const reported_run& run, const task_ref& ref,
                        time_point now);
    duration stall_timeout(const task_ref& ref) const;
    static duration first_progress_timeout(const task_ref& ref);
    bool may_be_long(const task_ref& ref, duration timeout, time_point now);
    void handle_stalled_run(const task_name& name, const task_ref& ref, time_point now);
    bool other_jobs_progress(const worker_state& worker, const job_id& job, time_point now);
    double expected_rate(const task_ref& ref) const;
    double sibling_rate(const task_ref& ref) const;
    void update_worker_speed(worker_state& worker, time_point now);
    void record_run_time(const task_ref& ref, time_point now);
    bool has_fast_placement(const task_ref& ref) const;
    void move_from_slow_worker(const task_name& name, const task_ref& ref, time_point now);
    template <typename Action>
    void for_each_task(open_job& job, Action action);
    void correct_run_times();
    void update_jobs(wall_time wall_now);
    void update_job(open_job& job, wall_time wall_now);
    void open_due_occurrences(open_job& job, wall_time wall_now);
    bool may_open_occurrence(open_job& job);
    void stop_all_runs(open_job& job);
    void stop_broken_gangs(open_job& job);
    bool has_assigned_tasks(const open_job& job) const;
    void finish_job(open_job& job, job_phase phase, wall_time wall_now);
    void update_services(const workload_config& config);
    void update_service(open_job& job, const workload_config& config);
    bool has_worker_for(const step_spec& step, const service_id& service) const;
    const service_id& service_for(const open_job& job, const step_spec& step) const;
    candidates find_candidates(const service_id& service, time_point now);
    bool is_evacuated(const worker_state& worker) const;
    void withdraw_evacuated_runs();
    std::string_view exclusion_reason(const worker_state& worker, time_point now);
    bool is_test_run(const worker_state& worker, const task_state& state) const;
    bool has_test_run(const worker_state& worker);
    void update_test_run(worker_state& worker, const reported_run& run, const task_ref& ref,
                         time_point now);
    void report_health(time_point now);
    void report_waiting(const std::vector<waiting_group>& groups,
                        const std::map<service_id, placement_pass>& passes, time_point now);
    std::string waiting_reason(const waiting_group& waiting, const placement_pass& pass,
                               const service_id& service);
    void explain_wait(const waiting_group& waiting, const placement_pass& pass,
                      const service_id& service);
    bool placement_due(const workload_config& config, time_point now);
    guarantee_uses measure_guarantees(const workload_config& config) const;
    std::vector<waiting_group> collect_waiting_groups(const guarantee_uses& guarantees,
                                                      time_point now, wall_time wall_now);
    void add_waiting_groups(open_job& job, time_point now, std::vector<waiting_group>& into);
    std::vector<host_id> find_excluded_hosts(const open_job& job, time_point now) const;
    void place_groups(std::vector<waiting_group>& groups, const guarantee_uses& guarantees,
                      time_point now);
    void separate_trials(std::vector<waiting_group>& groups) const;
    bool may_begin_trial(const placement_pass& pass);
    bool delay_trial(waiting_group& waiting, const placement_pass& pass);
    static placed_tasks place_on_trial(const task_group& group, const candidates& usable);
    void place_group(waiting_group& waiting, placement_pass& pass);
    bool can_wait_until(const waiting_group& waiting, time_point begin, time_point now) const;
    bool is_guarantee_due(const waiting_group& waiting, time_point now) const;
    bool place_or_reserve(waiting_group& waiting, placement_pass& pass);
    capacity_forecast forecast_capacity(const service_id& service, time_point now);
    std::optional<time_point> expected_end(const task_ref& ref, time_point now) const;
    static void mark_entitled(const guarantee_uses& guarantees, std::vector<waiting_group>& groups);
    void assign(waiting_group& waiting, const placed_tasks& places, placement_pass& pass);
    bool preempt_for(const waiting_group& waiting, placement_pass& pass,
                     const placement_constraints& limits);
    const std::vector<victim>& victims_for(const waiting_group& waiting, placement_pass& pass);
    double lost_work_of(const task_ref& ref, time_point now) const;
    std::set<task_name> find_borrowing_runs(const guarantee_uses& uses, time_point now);
    void stop_victim(const victim& chosen);
    void expire_silent_workers(time_point now);
    static void update_departure(worker_state& worker, time_point now);
    void stop_departing_runs(time_point now);
    duration lease_expiry_bound(duration lease) const;
    void add_decision_event(std::string event, const task_name& task, run_number run,
                            const host_id& host, std::string detail = {});

    options options_;
    worker_table workers_;
    std::map<job_id, open_job> jobs_;
    // Open jobs whose submission has not been read yet. Their runs go on, and ends are not
    // acknowledged.
    std::set<job_id> unread_jobs_;
    std::set<data_centre_id> evacuated_;
    const workspace_registry* workspaces_ = nullptr;
    std::uint64_t workspaces_revision_ = 0;
    std::map<worker_instance, std::uint64_t> applied_ends_;
    std::map<worker_instance, std::uint64_t> stored_ends_;
    bool ends_dirty_ = false;
    std::map<host_id, std::set<task_name>> runs_by_host_;
    // Assigned tasks that are on trial and have not passed it.
    std::set<task_name> trials_;
    // Not judged before the other workers have been heard of.
    std::vector<lost_run> lost_runs_;

    // When a worker last crashed without a run that may have caused it.
    time_point last_unexplained_crash_{};
    std::set<host_id> changed_hosts_;
    std::vector<decision_event> decision_events_;
    std::vector<progress_batch::change> ended_jobs_;
    // When every lease that an earlier leader granted has expired.
    time_point inherited_lease_expiry_{};
    // Whether a change since the last placement may allow a waiting group to run.
    bool capacity_changed_ = true;
    time_point last_placement_{};
    config_version last_placement_config_;
    run_time_estimates run_times_;
    scheduler_counts counts_;
    lost_work_totals lost_work_;
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
                                .states = &job.task_states[at][step],
                                .task = &tasks[index],
                                .state = &job.task_states[at][step][index]});
            }
        }
    }
}

}  // namespace baobabrack::workload

#endif
