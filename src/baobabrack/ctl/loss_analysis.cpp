// Follows the runs: their assignments, and what was lost at their ends.
#include "baobabrack/ctl/loss_analysis.hpp"

#include <algorithm>
#include <charconv>

namespace baobabrack::ctl {

using workload::lost_work_cause;

namespace {

constexpr std::string_view listed_for = "the run was listed for ";
constexpr int very_late_factor = 3;

double seconds_of(std::int64_t milliseconds) {
    constexpr double per_second = 1000;
    return static_cast<double>(std::max<std::int64_t>(milliseconds, 0)) / per_second;
}

// Returns the time in a text such as "...; the run was listed for 1662 ms".
std::optional<std::int64_t> parse_listed_ms(std::string_view text) {
    const auto found = text.find(listed_for);
    if (found == std::string_view::npos) {
        return std::nullopt;
    }
    text.remove_prefix(found + listed_for.size());
    std::int64_t value = 0;
    const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
    return parsed.ec == std::errc{} ? std::optional{value} : std::nullopt;
}

}  // namespace

losses_report loss_analysis::run() {
    report_.has_leader_lines = history_.has_leader_lines;
    if (records_.empty()) {
        return std::move(report_);
    }
    report_.first = records_.front().time;
    report_.last = records_.back().time;
    for (const auto& record : records_) {
        follow(record);
    }
    for (auto& [id, job] : history_.jobs) {
        add_unfinished_waits(id, job);
        count_job(id, job);
    }
    return std::move(report_);
}

void loss_analysis::follow(const log_record& record) {
    const bool ends = record.event == "run-ended" || record.event == "run-lost" ||
                      record.event == "start-refused";
    if (is_from_guard(record) || (record.event != "run-assigned" && !ends)) {
        return;
    }
    const auto task = parse_task(record.text("task"));
    const auto run = record.number("run");
    if (!task || !run) {
        return;
    }
    if (ends) {
        end_run(record, *task, *run);
    } else {
        assign_run(record, *task, *run);
    }
}

const submitted_step* loss_analysis::find_step(const logged_task& task) const {
    const auto job = history_.jobs.find(task.job);
    const bool known = job != history_.jobs.end() && job->second.submitted &&
                       task.step < job->second.submitted->steps.size();
    return known ? &job->second.submitted->steps[task.step] : nullptr;
}

followed_step& loss_analysis::step_of(const logged_task& task) {
    return steps_[task.job][{task.occurrence, task.step}];
}

void loss_analysis::assign_run(const log_record& record, const logged_task& task,
                               std::int64_t number) {
    auto& job = history_.jobs[task.job];
    job.accepted = job.accepted    ? job.accepted
                   : job.submitted ? std::optional{std::min(job.submitted->submitted, record.time)}
                                   : record.time;
    auto& step = step_of(task);
    auto& followed = step.tasks[task.index];
    // Both leaders around a change may log the decision, and the former one a run number that
    // has been passed.
    if (!followed.runs.empty() && followed.runs.rbegin()->first >= number) {
        return;
    }
    const auto* spec = find_step(task);
    if (spec == nullptr) {
        ++report_.missing.runs_without_needs;
    } else if (const auto ready = ready_time(job, task, *spec, step)) {
        add_wait(job, task.step, *spec, {.begin = *ready, .end = record.time});
    } else {
        ++report_.missing.runs_without_ready_time;
    }
    for (auto& [earlier_number, earlier] : followed.runs) {
        earlier.ended = true;
    }
    auto& run = followed.runs[number];
    run.assigned = record.time;
    const auto started = history_.starts.find({record.text("task"), number});
    if (started != history_.starts.end()) {
        run.begun = started->second;
        if (spec != nullptr) {
            add_wait(waiting_cause::order, "", *spec, seconds_between(record.time, *run.begun));
        }
    }
}

void loss_analysis::end_run(const log_record& record, const logged_task& task,
                            std::int64_t number) {
    auto& step = step_of(task);
    auto& followed = step.tasks[task.index];
    auto& run = followed.runs[number];
    const auto& outcome_text = record.text("reason");
    const auto outcome = std::string_view{outcome_text}.substr(0, outcome_text.find(','));
    const bool done = record.event == "run-ended" && outcome == "done";
    const bool repeated = run.ended;
    if (repeated && (!done || step.done.contains(task.index))) {
        return;
    }
    if (run.lost_as && repeated) {
        // The run was taken for lost, but its work counts.
        auto& row = report_.lost[*run.lost_as];
        --row.runs;
        row.run_seconds -= run.lost.run_seconds;
        row.core_seconds -= run.lost.core_seconds;
        row.saved_run_seconds -= run.lost.saved_run_seconds;
        row.saved_core_seconds -= run.lost.saved_core_seconds;
        run.lost_as.reset();
    }
    const auto* spec = find_step(task);
    if (!repeated) {
        run.ended = true;
        const auto cause = find_cause(record, task, number, outcome);
        account_run(record, cause, spec, run);
    }
    followed.last_end = record.time;
    step.last_end = record.time;
    if (done && (spec == nullptr || !spec->long_running)) {
        followed.done = true;
        step.done.insert(task.index);
        step.last_done = record.time;
        step.first_done = step.first_done ? step.first_done : record.time;
    }
}

// Returns nothing if the work of the run is not lost.
std::optional<lost_work_cause> loss_analysis::find_cause(const log_record& record,
                                                         const logged_task& task,
                                                         std::int64_t number,
                                                         std::string_view outcome) {
    const auto& step = step_of(task);
    const auto* spec = find_step(task);
    if (const auto logged = workload::parse_lost_work_cause(record.text("cause"))) {
        return logged;
    }
    if (record.event == "start-refused") {
        return lost_work_cause::start_refused;
    }
    if (record.event == "run-lost") {
        return record.text("reason").starts_with("the worker's lease expired")
                   ? lost_work_cause::lease_expired
                   : lost_work_cause::worker_crashed;
    }
    if (outcome == "done") {
        const bool twice = step.done.contains(task.index);
        return twice ? std::optional{lost_work_cause::done_twice} : std::nullopt;
    }
    if (outcome == "failed") {
        return lost_work_cause::run_failed;
    }
    const auto stop = history_.stops.find({record.text("task"), number});
    if (stop != history_.stops.end()) {
        const bool complete = spec != nullptr && spec->long_running &&
                              stop->second == workload::stop_cause::job_cancelled;
        return complete ? std::nullopt : std::optional{workload::cause_of(stop->second)};
    }
    if (outcome == "lease_lapsed") {
        return lost_work_cause::lease_expired;
    }
    return outcome.starts_with("gang_") ? lost_work_cause::gang_ended : lost_work_cause::unknown;
}

void loss_analysis::account_run(const log_record& record, std::optional<lost_work_cause> cause,
                                const submitted_step* spec, followed_run& run) {
    const auto begun = begin_of(record, run);
    if (run.assigned && !run.begun && spec != nullptr) {
        if (begun || record.event == "start-refused") {
            add_wait(waiting_cause::order, "", *spec,
                     seconds_between(*run.assigned, begun.value_or(record.time)));
        } else if (record.event == "run-ended") {
            ++report_.missing.runs_without_start;
        }
    }
    if (!cause) {
        return;
    }
    run.lost_as = cause;
    auto& lost = run.lost;
    lost.runs = 1;
    const auto cores = spec == nullptr ? 0 : spec->cores();
    const auto lost_ms = record.number("lost_ms");
    const auto saved_ms = record.number("saved_ms");
    const auto listed_ms = parse_listed_ms(record.text("reason"));
    if (lost_ms) {
        lost.run_seconds = seconds_of(*lost_ms);
    } else if (listed_ms) {
        lost.run_seconds = seconds_of(*listed_ms);
    } else if (record.event == "run-ended" && run.assigned) {
        lost.run_seconds = seconds_between(begun.value_or(*run.assigned), record.time);
    }
    lost.saved_run_seconds = seconds_of(saved_ms.value_or(0));
    lost.core_seconds = lost.run_seconds * cores;
    lost.saved_core_seconds = lost.saved_run_seconds * cores;
    const bool has_checkpoints = spec != nullptr && spec->checkpoints;
    report_.missing.runs_without_saved_time +=
        has_checkpoints && !saved_ms && lost.run_seconds > 0 ? 1 : 0;
    auto& row = report_.lost[*cause];
    ++row.runs;
    row.run_seconds += lost.run_seconds;
    row.core_seconds += lost.core_seconds;
    row.saved_run_seconds += lost.saved_run_seconds;
    row.saved_core_seconds += lost.saved_core_seconds;
}

// Returns when the worker had the run, or nothing if the logs do not tell.
std::optional<log_time> loss_analysis::begin_of(const log_record& record, const followed_run& run) {
    if (run.begun) {
        return run.begun;
    }
    constexpr std::int64_t max_ms = 86'400'000;
    const auto start_ms = record.number("start_ms");
    if (!run.assigned || !start_ms) {
        return std::nullopt;
    }
    return *run.assigned +
           std::chrono::milliseconds{std::clamp(*start_ms, std::int64_t{0}, max_ms)};
}

bool loss_analysis::has_open_run(const std::string& id) const {
    const auto steps = steps_.find(id);
    return steps != steps_.end() &&
           std::any_of(steps->second.begin(), steps->second.end(), [](const auto& step) {
               const auto& tasks = step.second.tasks;
               return std::any_of(tasks.begin(), tasks.end(),
                                  [](const auto& task) { return task.second.has_open_run(); });
           });
}

void loss_analysis::count_job(const std::string& id, const job_history& job) {
    if (!job.accepted) {
        return;
    }
    if (!job.submitted) {
        ++report_.missing.jobs_without_needs;
    }
    job_counts counts{.accepted = 1, .ended = job.ended ? 1U : 0U};
    if (job.submitted && job.submitted->objective) {
        const auto taken = job.ended.value_or(report_.last) - job.submitted->submitted;
        const auto objective = *job.submitted->objective;
        counts.within_objective = job.completed && taken <= objective ? 1 : 0;
        counts.very_late =
            (job.completed || !job.ended) && taken > objective * very_late_factor ? 1 : 0;
    }
    counts.waiting = !job.ended && !has_open_run(id) ? 1 : 0;
    const auto add = [&](job_counts& row) {
        row.accepted += counts.accepted;
        row.ended += counts.ended;
        row.within_objective += counts.within_objective;
        row.very_late += counts.very_late;
        row.waiting += counts.waiting;
    };
    add(report_.queues[job.submitted ? job.submitted->queue : ""]);
    add(report_.workspaces[job.submitted ? job.submitted->workspace : ""]);
}

}  // namespace baobabrack::ctl
