#ifndef BAOBABRACK_TESTS_WORKLOAD_SCHEDULER_FIXTURE_HPP
#define BAOBABRACK_TESTS_WORKLOAD_SCHEDULER_FIXTURE_HPP

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <string>

#include "baobabrack/workload/scheduler.hpp"
#include "workload/simulated_cluster.hpp"

namespace baobabrack::workload {

/// A scheduler whose batches are stored at once, with workers whose reports the test edits.
class scheduler_fixture {
public:
    explicit scheduler_fixture(scheduler::options opts = {}) : subject(opts) {
        config.workspaces.push_back(
            {.id = workspace_id{"workspace"}, .keys = {}, .guaranteed = accelerator_count{8}});
        subject.load({}, now, now);
    }

    scheduler subject;
    workload_config config;
    time_point now{std::chrono::seconds{100}};
    wall_time wall_now{std::chrono::seconds{1'000'000}};
    std::map<std::string, worker_report> reports;

    void add_worker(const std::string& host, const std::string& rack = "r1",
                    const std::string& service = "service") {
        worker_report report;
        report.facts.instance = {
            .host = host_id{host}, .worker = worker_id{"w-" + host}, .version = incarnation{1}};
        report.facts.service = service_id{service};
        report.facts.rack = rack_id{rack};
        report.facts.capacity = {.cpu = cpu_millicores{64'000},
                                 .memory = memory_mib{64'000},
                                 .accelerators = accelerator_count{8}};
        report.lists_known = true;
        reports[host] = report;
    }

    void submit(job_spec spec) {
        spec.submitted = wall_now;
        subject.add_job({.spec = spec, .progress = {}, .cancelled = false}, now);
    }

    /// Handles every report, decides, stores the batch and applies the orders.
    void run_pass() {
        for (auto& [host, report] : reports) {
            subject.handle_report(report, now);
        }
        subject.decide(&config, now, wall_now);
        subject.mark_stored(subject.drain_batch(true));
        for (auto& [host, report] : reports) {
            const auto orders = subject.orders_for(report);
            for (const auto& start : orders.starts) {
                report.runs.push_back({.task = start.task, .run = start.run, .percent = 1});
            }
            for (const auto& stop : orders.stops) {
                end_run(host, stop.task, stop.run, run_outcome::stopped);
            }
        }
        now += std::chrono::milliseconds{100};
        wall_now += std::chrono::milliseconds{100};
    }

    void end_run(const std::string& host, const task_name& task, run_number run,
                 run_outcome outcome) {
        auto& report = reports[host];
        std::erase_if(report.runs, [&](const auto& listed) { return listed.task == task; });
        report.ends.push_back(
            {.sequence = report.ends.size() + 1, .task = task, .run = run, .outcome = outcome});
    }

    void end_all(const std::string& host, run_outcome outcome) {
        const auto runs = reports[host].runs;
        for (const auto& run : runs) {
            end_run(host, run.task, run.run, outcome);
        }
    }

    /// Reports a new instance of the worker, which runs nothing.
    ///
    /// @return the first event that this causes
    scheduler::decision_event crash(const std::string& host) {
        auto& report = reports[host];
        report.facts.instance.version = incarnation{2};
        report.runs.clear();
        subject.drain_decision_events();
        subject.handle_report(report, now);
        const auto events = subject.drain_decision_events();
        REQUIRE_FALSE(events.empty());
        return events.front();
    }

    std::size_t run_count(const std::string& host) { return reports[host].runs.size(); }
    std::size_t run_count(const std::string& host, const std::string& job) {
        const auto& runs = reports[host].runs;
        return static_cast<std::size_t>(std::count_if(
            runs.begin(), runs.end(),
            [&](const reported_run& run) { return run.task.step.job == job_id{job}; }));
    }
};

/// @return a job of priority 0 with a single step
inline job_spec urgent_job(const std::string& id, std::uint32_t tasks, std::uint32_t accelerators) {
    auto job = testing::job_of(id, tasks, accelerators);
    job.priority = 0;
    return job;
}

}  // namespace baobabrack::workload

#endif
