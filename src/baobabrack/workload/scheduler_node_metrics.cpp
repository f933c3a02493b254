// Logs and metrics of the decisions.
#include "baobabrack/observe/json_log.hpp"
#include "baobabrack/workload/scheduler_node.hpp"
#include "baobabrack/workload/scheduler_node_limits.hpp"

namespace baobabrack::workload {

namespace {

// The report of `baobabrackctl losses` reads these fields.
void add_account(log_event& event, const run_account& account) {
    if (account.start_delay) {
        event.field("start_ms", to_ms(*account.start_delay));
    }
    if (account.cause) {
        event.field("cause", to_string(*account.cause))
            .field("lost_ms", to_ms(account.lost))
            .field("saved_ms", to_ms(account.saved));
    }
}

}  // namespace

void scheduler_node::log_decisions() {
    for (const auto& decision : scheduler_->drain_decision_events()) {
        log_event event(log_level::info, decision.event);
        if (!decision.task.step.job.get().empty()) {
            event.field("job", decision.task.step.job.get());
        }
        if (decision.run.get() > 0) {
            event.field("task", to_text(decision.task)).field("run", decision.run.get());
        }
        if (!decision.host.get().empty()) {
            event.field("host", decision.host.get());
        }
        if (!decision.detail.empty()) {
            event.field("reason", decision.detail);
        }
        if (decision.account) {
            add_account(event, *decision.account);
        }
        if (decision.waits_for) {
            event.field("waits_for", to_string(*decision.waits_for));
        }
        if (!decision.excluded_as.empty()) {
            event.field("excluded_as", decision.excluded_as);
        }
        event.field("term", term_.get());
        if (!leadership_confirmed()) {
            // Another scheduler may be the leader by now; then this decision is not stored.
            event.field("proof_age_ms", to_ms(deps_.loop.now() - writer_.last_confirmed()));
        }
        if (const auto* config = deps_.config.current()) {
            event.field("config_version", config->version.get());
        }
    }
    lost_work_.add(scheduler_->drain_lost_work());
}

void scheduler_node::update_metrics() {
    metrics_updated_ = deps_.loop.now();
    auto& metrics = deps_.metrics;
    metrics.get_gauge("baobabrack_leading", "Whether this scheduler leads")
        .set(is_leader() ? 1 : 0);
    metrics.get_gauge("baobabrack_jobs", "Jobs that are known")
        .set(static_cast<double>(jobs_.jobs().size()));
    metrics
        .get_gauge("baobabrack_evacuated_data_centres",
                   "Data centres in which the operator lets nothing start")
        .set(static_cast<double>(deps_.config.evacuated().size()));
    metrics.get_gauge("baobabrack_records_unreadable", "Stored records that could not be read")
        .set(static_cast<double>(jobs_.unreadable_records()));
    for (const auto cause : lost_work_causes) {
        auto& lost = metrics.get_counter("baobabrack_lost_work_seconds_total",
                                         "Lost work by cause, in core-seconds",
                                         {{"cause", std::string{to_string(cause)}}});
        lost.add(static_cast<std::uint64_t>(lost_work_.core_seconds(cause)) - lost.value());
    }
    if (!is_leader()) {
        return;
    }
    const auto& counts = scheduler_->counts();
    const auto set = [&](const char* event, std::uint64_t value) {
        metrics
            .get_gauge("baobabrack_runs", "Runs by what became of them, under this leader",
                       {{"event", event}})
            .set(static_cast<double>(value));
    };
    const auto set_trials = [&](const char* event, std::uint64_t value) {
        metrics
            .get_gauge("baobabrack_trials",
                       "Trials of tasks suspected of crashing workers, under this leader",
                       {{"event", event}})
            .set(static_cast<double>(value));
    };
    set("started", counts.started);
    set("done", counts.done);
    set("failed", counts.failed);
    set("stopped", counts.stopped);
    set("lost", counts.lost);
    set("refused", counts.refused);
    set("preempted", counts.preempted);
    set("departed", counts.departed);
    metrics
        .get_gauge("baobabrack_worker_crashes",
                   "Crashes of workers that had runs, under this leader")
        .set(static_cast<double>(counts.worker_crashes));
    set_trials("begun", counts.trials);
    set_trials("passed", counts.trials_passed);
    metrics
        .get_gauge("baobabrack_jobs_given_up",
                   "Jobs with a task that crashes workers, under this leader")
        .set(static_cast<double>(counts.given_up));
    metrics
        .get_gauge("baobabrack_jobs_unstorable",
                   "Jobs that were given up as the store does not take their state, under this "
                   "leader")
        .set(static_cast<double>(counts.unstorable));
    metrics.get_gauge("baobabrack_open_jobs", "Jobs that have not ended")
        .set(static_cast<double>(scheduler_->open_jobs()));
}

}  // namespace baobabrack::workload
