// The waits of tasks.
#include <algorithm>

#include "baobabrack/ctl/loss_analysis.hpp"

namespace baobabrack::ctl {

// Returns when a task that has no run could run, as far as the logs tell.
std::optional<log_time> loss_analysis::ready_time(const job_history& job, const logged_task& task,
                                                  const submitted_step& spec,
                                                  const followed_step& step) {
    const auto own = step.tasks.find(task.index);
    const auto last_end = spec.gang                 ? step.last_end
                          : own == step.tasks.end() ? std::nullopt
                                                    : own->second.last_end;
    if (last_end) {
        return last_end;
    }
    auto ready = job.accepted;
    if (job.submitted->occurrences > 0) {
        ready = due_time(*job.submitted, task.occurrence);
    }
    for (const auto before : spec.after) {
        const auto done = done_time(task, before);
        ready = ready && done ? std::optional{std::max(*ready, *done)} : std::nullopt;
    }
    return ready;
}

std::optional<log_time> loss_analysis::due_time(const submitted_job& job,
                                                std::uint64_t occurrence) {
    // Later occurrences are not due within the time of any log.
    constexpr double max_ms = 1e15;
    const auto after = static_cast<double>(job.interval.count()) * static_cast<double>(occurrence);
    if (!job.first_due || after > max_ms) {
        return std::nullopt;
    }
    return *job.first_due + std::chrono::milliseconds{static_cast<std::int64_t>(after)};
}

// Returns when a step was done, or nothing if it is not or the log does not tell.
std::optional<log_time> loss_analysis::done_time(const logged_task& task, std::size_t index) {
    const auto& spec = history_.jobs[task.job].submitted->steps[index];
    const auto& step = steps_[task.job][{task.occurrence, index}];
    if (spec.gang) {
        return step.first_done;
    }
    return step.done.size() >= spec.tasks ? step.last_done : std::nullopt;
}

void loss_analysis::add_wait(waiting_cause cause, const std::string& reason,
                             const submitted_step& spec, double seconds) {
    if (seconds > 0) {
        auto& row = report_.waiting[{cause, reason}];
        row.task_seconds += seconds;
        row.accelerator_seconds += seconds * static_cast<double>(spec.accelerators);
    }
}

// Divides the wait of a task for its assignment by what the leaders said that its step waits
// for. A line tells about the time since the line before, and the last one until the end.
void loss_analysis::add_wait(const job_history& job, std::size_t step, const submitted_step& spec,
                             log_span wait) {
    const reported_wait* last = nullptr;
    for (const auto& reported : job.waits) {
        if (reported.step != step || reported.time <= wait.begin || reported.time > wait.end) {
            continue;
        }
        add_reported_wait(&reported, spec, {.begin = wait.begin, .end = reported.time});
        wait.begin = reported.time;
        last = &reported;
    }
    add_reported_wait(last, spec, wait);
}

void loss_analysis::add_reported_wait(const reported_wait* reported, const submitted_step& spec,
                                      const log_span& wait) {
    double leaderless = 0;
    for (const auto& span : history_.leaderless) {
        leaderless +=
            seconds_between(std::max(span.begin, wait.begin), std::min(span.end, wait.end));
    }
    add_wait(waiting_cause::leader, "", spec, leaderless);
    add_wait(reported == nullptr ? waiting_cause::not_reported : reported->cause,
             reported == nullptr ? std::string{} : reported->reason, spec,
             seconds_between(wait.begin, wait.end) - leaderless);
}

// Adds the waits that last until the end of the job or of the logs.
void loss_analysis::add_unfinished_waits(const std::string& id, const job_history& job) {
    if (!job.accepted || !job.submitted || job.completed) {
        return;
    }
    const auto end = job.ended.value_or(report_.last);
    const auto occurrences = std::max<std::uint64_t>(job.submitted->occurrences, 1);
    for (std::uint64_t occurrence = 0; occurrence < occurrences; ++occurrence) {
        if (job.submitted->occurrences > 0) {
            const auto due = due_time(*job.submitted, occurrence);
            if (!due || *due > end) {
                return;
            }
        }
        for (std::size_t index = 0; index < job.submitted->steps.size(); ++index) {
            add_unfinished_waits(
                job, {.job = id, .occurrence = occurrence, .step = index, .index = 0}, end);
        }
    }
}

void loss_analysis::add_unfinished_waits(const job_history& job, logged_task task, log_time end) {
    const auto& spec = job.submitted->steps[task.step];
    const auto& step = step_of(task);
    if (spec.gang && step.first_done) {
        return;
    }
    for (; task.index < spec.tasks; ++task.index) {
        const auto followed = step.tasks.find(task.index);
        if (followed != step.tasks.end() &&
            (followed->second.done || followed->second.has_open_run())) {
            continue;
        }
        if (const auto ready = ready_time(job, task, spec, step)) {
            add_wait(job, task.step, spec, {.begin = *ready, .end = end});
        }
    }
}

}  // namespace baobabrack::ctl
