#include "baobabrack/ctl/losses_report.hpp"

#include <catch2/catch.hpp>
#include <cmath>

using namespace baobabrack::ctl;
using baobabrack::workload::lost_work_cause;

namespace {

using fields = std::map<std::string, std::string, std::less<>>;

/// Builds logs by the second.
class log_builder {
public:
    log_builder& add(double second, const std::string& event, fields values,
                     const std::string& process = "s1", const std::string& role = "scheduler") {
        records_.push_back({.time = log_time{std::chrono::microseconds{
                                std::llround((start_second + second) * 1e6)}},
                            .role = role,
                            .process = process,
                            .event = event,
                            .fields = std::move(values)});
        return *this;
    }

    log_builder& submit(double second, const std::string& steps, const std::string& job = "j") {
        add(second, "job-submitted",
            {{"job", job},
             {"queue", "q"},
             {"workspace", "w"},
             {"steps", steps},
             {"occurrences", "0"},
             {"chain_ms", "1000"},
             {"completion_target_ms", "1000"},
             {"slack", "2"}});
        return add(second, "call-answered",
                   {{"job", job}, {"call", "submit"}, {"answer", "accepted"}});
    }

    log_builder& assign(double second, const std::string& task, int run = 1,
                        const std::string& process = "s1") {
        return add(second, "run-assigned", run_fields(task, run), process);
    }

    log_builder& start(double second, const std::string& task, int run = 1) {
        auto values = run_fields(task, run);
        values["outcome"] = "accepted";
        return add(second, "start-answered", values, "g1", "worker_guard");
    }

    log_builder& stop(double second, const std::string& task, const std::string& reason,
                      int run = 1) {
        auto values = run_fields(task, run);
        values["reason"] = reason;
        return add(second, "run-stopping", values);
    }

    log_builder& end(double second, const std::string& task, const std::string& reason, int run = 1,
                     fields more = {}, const std::string& event = "run-ended") {
        auto values = run_fields(task, run);
        values["reason"] = reason;
        values.merge(more);
        return add(second, event, values);
    }

    log_builder& finish_job(double second, const std::string& event, const std::string& job = "j") {
        return add(second, event, {{"job", job}});
    }

    losses_report report() const { return analyse_losses(records_); }

private:
    static constexpr double start_second = 1'793'063'795;

    static fields run_fields(const std::string& task, int run) {
        return {
            {"job", task.substr(0, task.find('.'))}, {"task", task}, {"run", std::to_string(run)}};
    }

    std::vector<log_record> records_;
};

double wait_of(const losses_report& report, waiting_cause cause, const std::string& reason = "") {
    const auto found = report.waiting.find({cause, reason});
    return found == report.waiting.end() ? 0 : found->second.task_seconds;
}

lost_work lost_of(const losses_report& report, lost_work_cause cause) {
    const auto found = report.lost.find(cause);
    return found == report.lost.end() ? lost_work{} : found->second;
}

constexpr auto one_task = "1x2acc/1000m/1MiB/1000ms";

}  // namespace

// Guards against figures of nothing that look like a run without losses.
TEST_CASE("Logs without a leader's lines are reported as such", "[losses]") {
    CHECK_FALSE(analyse_losses({}).has_leader_lines);
    log_builder log;
    log.submit(0, one_task).start(1, "j.0.0.0");
    CHECK_FALSE(log.report().has_leader_lines);
    log.assign(1, "j.0.0.0");
    CHECK(log.report().has_leader_lines);
}

// Guards against waits that are put down to the wrong cause, or counted twice.
TEST_CASE("The wait of a task is divided by what the leader said that it waits for", "[losses]") {
    log_builder log;
    log.submit(0, one_task);
    const auto waiting = [&](double second, fields values) {
        values["job"] = "j";
        values["reason"] = "step 0, 1 tasks; no room on 3 hosts; hosts left out as silent: 1";
        log.add(second, "job-waiting", std::move(values));
    };
    SECTION("with the cause in a field") {
        waiting(1, {{"waits_for", "capacity"}});
        waiting(3, {{"waits_for", "excluded"}, {"excluded_as", "draining"}});
        waiting(6, {{"waits_for", "whole_worker"}});
        waiting(7, {{"waits_for", "rack"}});
        log.assign(8, "j.0.0.0").start(8.5, "j.0.0.0");
        const auto report = log.report();
        CHECK(wait_of(report, waiting_cause::capacity) == Approx(1));
        CHECK(wait_of(report, waiting_cause::excluded, "draining") == Approx(2));
        CHECK(wait_of(report, waiting_cause::whole_worker) == Approx(3));
        // The last line tells about the rest as well.
        CHECK(wait_of(report, waiting_cause::rack) == Approx(2));
        CHECK(wait_of(report, waiting_cause::order) == Approx(0.5));
        CHECK(report.waiting.at({waiting_cause::rack, ""}).accelerator_seconds == Approx(4));
    }
    SECTION("with the text of older schedulers") {
        waiting(2, {});
        log.assign(3, "j.0.0.0");
        CHECK(wait_of(log.report(), waiting_cause::capacity) == Approx(3));
    }
    SECTION("without a line") {
        log.assign(0.5, "j.0.0.0");
        CHECK(wait_of(log.report(), waiting_cause::not_reported) == Approx(0.5));
    }
    SECTION("until the logs end") {
        waiting(2, {{"waits_for", "reserved"}});
        log.add(5, "started", {});
        const auto report = log.report();
        CHECK(wait_of(report, waiting_cause::reserved) == Approx(5));
        CHECK(report.queues.at("q").waiting == 1);
    }
    SECTION("until the job is cancelled") {
        waiting(2, {{"waits_for", "reserved"}});
        log.finish_job(4, "job-cancelled").add(9, "started", {});
        const auto report = log.report();
        CHECK(wait_of(report, waiting_cause::reserved) == Approx(4));
        CHECK(report.queues.at("q").waiting == 0);
    }
}

// Guards against the time of a change of leaders that is put down to missing capacity.
TEST_CASE("The time without a leader counts as waiting for one", "[losses]") {
    log_builder log;
    log.add(0, "lead-taken", {{"term", "1"}}).submit(1, one_task);
    SECTION("that was killed") {
        log.add(3, "lead-claimed", {{"silent_ms", "1500"}}, "s2");
    }
    SECTION("that gave up") {
        log.add(1.5, "lead-lost", {{"term", "1"}});
        log.add(3, "lead-claimed", {{"silent_ms", "100"}}, "s2");
    }
    log.add(4, "lead-taken", {{"term", "2"}}, "s2").assign(5, "j.0.0.0", 1, "s2");
    const auto report = log.report();
    CHECK(wait_of(report, waiting_cause::leader) == Approx(2.5));
    CHECK(wait_of(report, waiting_cause::not_reported) == Approx(1.5));
}

// Guards against a wait of a second step, or of a restarted task, from the submission on.
TEST_CASE("A task can run once the steps before it are done and its last run has ended",
          "[losses]") {
    log_builder log;
    log.submit(0, "2x1acc/0m/1MiB/1ms, 1x1acc/0m/1MiB/1ms");
    log.assign(0, "j.0.0.0").assign(0, "j.0.0.1");
    log.end(2, "j.0.0.0", "done").end(3, "j.0.0.1", "failed");
    log.assign(4, "j.0.0.1", 2).end(6, "j.0.0.1", "done", 2);
    log.assign(7, "j.0.1.0").end(8, "j.0.1.0", "done").finish_job(8, "job-completed");
    const auto report = log.report();
    CHECK(wait_of(report, waiting_cause::not_reported) == Approx(2));
    CHECK(report.missing.runs_without_ready_time == 0);
}

// Guards against members of a gang that seem to wait while other members still end.
TEST_CASE("A gang can run once all of its runs have ended", "[losses]") {
    log_builder log;
    log.submit(0, "2x1acc/0m/1MiB/1ms gang");
    log.assign(0, "j.0.0.0").assign(0, "j.0.0.1");
    log.end(2, "j.0.0.0", "failed").end(3, "j.0.0.1", "gang_broken");
    log.assign(4, "j.0.0.0", 2).assign(4, "j.0.0.1", 2);
    const auto report = log.report();
    CHECK(wait_of(report, waiting_cause::not_reported) == Approx(2));
    CHECK(lost_of(report, lost_work_cause::gang_ended).run_seconds == Approx(3));
}

// Guards against work that is lost under another cause, or not at all.
TEST_CASE("Lost work is counted by the cause of the end", "[losses]") {
    log_builder log;
    log.submit(0, one_task).assign(0, "j.0.0.0").start(1, "j.0.0.0");
    SECTION("that the line names") {
        log.end(5, "j.0.0.0", "stopped", 1,
                {{"cause", "preempted"}, {"lost_ms", "1500"}, {"saved_ms", "2500"}});
        const auto lost = lost_of(log.report(), lost_work_cause::preempted);
        CHECK(lost.runs == 1);
        CHECK(lost.run_seconds == Approx(1.5));
        CHECK(lost.core_seconds == Approx(1.5 * 17));
        CHECK(lost.saved_run_seconds == Approx(2.5));
        CHECK(lost.saved_core_seconds == Approx(2.5 * 17));
    }
    SECTION("that the reason of the stop tells") {
        const auto [reason, cause] = GENERATE(table<std::string, lost_work_cause>(
            {{"preempted by a job of priority 0", lost_work_cause::preempted},
             {"reclaimed by a guaranteed job; its workspace uses more than its guarantee",
              lost_work_cause::reclaimed},
             {"another run of the gang has ended", lost_work_cause::gang_ended},
             {"the worker is slow", lost_work_cause::slow_worker},
             {"no progress at 7%", lost_work_cause::no_progress},
             {"the job was cancelled", lost_work_cause::cancelled},
             {"the job has failed", lost_work_cause::job_failed},
             {"an earlier run of the task has ended as done", lost_work_cause::done_twice},
             {"the worker leaves before the run ends", lost_work_cause::worker_leaves}}));
        log.stop(4, "j.0.0.0", reason).end(5, "j.0.0.0", "stopped");
        const auto lost = lost_of(log.report(), cause);
        CHECK(lost.runs == 1);
        CHECK(lost.run_seconds == Approx(4));
    }
    SECTION("a lost worker") {
        const auto [reason, cause] = GENERATE(table<std::string, lost_work_cause>(
            {{"the worker's lease expired; the run was listed for 1662 ms",
              lost_work_cause::lease_expired},
             {"a newer worker instance runs on the host; the run was listed for 1662 ms",
              lost_work_cause::worker_crashed}}));
        log.end(9, "j.0.0.0", reason, 1, {}, "run-lost");
        CHECK(lost_of(log.report(), cause).run_seconds == Approx(1.662));
    }
    SECTION("a refused start") {
        log.end(5, "j.0.0.0", "it was never started", 1, {}, "start-refused");
        const auto lost = lost_of(log.report(), lost_work_cause::start_refused);
        CHECK(lost.runs == 1);
        CHECK(lost.run_seconds == 0);
    }
    SECTION("a run that is done") {
        log.stop(4, "j.0.0.0", "preempted by a job of priority 0").end(5, "j.0.0.0", "done");
        CHECK(log.report().lost.empty());
    }
    SECTION("a task that is done by two runs") {
        log.end(5, "j.0.0.0", "done").assign(5, "j.0.0.0", 2).end(7, "j.0.0.0", "done", 2);
        const auto lost = lost_of(log.report(), lost_work_cause::done_twice);
        CHECK(lost.runs == 1);
        CHECK(lost.run_seconds == Approx(2));
    }
}

// Guards against lost work of a run that was taken for lost although it was done.
TEST_CASE("A run that is done after it was taken for lost has lost nothing", "[losses]") {
    log_builder log;
    log.submit(0, one_task).assign(0, "j.0.0.0");
    log.end(5, "j.0.0.0", "the worker's lease expired; the run was listed for 4000 ms", 1, {},
            "run-lost");
    log.end(6, "j.0.0.0", "done, taken for lost before");
    CHECK(lost_of(log.report(), lost_work_cause::lease_expired).runs == 0);
    CHECK(lost_of(log.report(), lost_work_cause::lease_expired).run_seconds == Approx(0));
}

// Guards against a second step that seems not to be ready after the only run that was seen as done.
TEST_CASE("A late end as done makes the next step ready", "[losses]") {
    log_builder log;
    log.submit(0, "1x1acc/0m/1MiB/1ms, 1x1acc/0m/1MiB/1ms");
    log.assign(0, "j.0.0.0").assign(2, "j.0.0.0", 2);
    log.end(3, "j.0.0.0", "done, not the current run");
    log.assign(4, "j.0.1.0");
    const auto report = log.report();
    CHECK(report.missing.runs_without_ready_time == 0);
    CHECK(wait_of(report, waiting_cause::not_reported) == Approx(3));
}

// Guards against decisions of two leaders around a change that count twice.
TEST_CASE("A decision that two leaders have logged counts once", "[losses]") {
    log_builder log;
    log.submit(0, one_task).assign(1, "j.0.0.0").assign(1.5, "j.0.0.0", 1, "s2");
    log.end(4, "j.0.0.0", "failed").end(4.2, "j.0.0.0", "failed");
    log.finish_job(5, "job-failed").finish_job(5.1, "job-failed");
    const auto report = log.report();
    CHECK(wait_of(report, waiting_cause::not_reported) == Approx(2));
    CHECK(lost_of(report, lost_work_cause::run_failed).runs == 1);
    CHECK(report.queues.at("q").ended == 1);
}

// Guards against guards' lines, which have the names of the scheduler's events, as decisions.
TEST_CASE("Lines of guards are no decisions, and unknown events are ignored", "[losses]") {
    log_builder log;
    log.submit(0, one_task).assign(1, "j.0.0.0");
    log.add(2, "start-refused",
            {{"job", "j"}, {"task", "j.0.0.0"}, {"run", "1"}, {"reason", "no_room"}}, "g1",
            "worker_guard");
    log.add(2, "not-an-event", {{"job", "j"}, {"task", "j.0.0.0"}, {"run", "1"}});
    log.add(2, "run-assigned", {{"job", "j"}, {"task", "x"}, {"run", "y"}});
    CHECK(log.report().lost.empty());
}

// Guards against figures that are silently too low because lines are missing.
TEST_CASE("What the logs do not tell is counted", "[losses]") {
    log_builder log;
    log.assign(0, "unknown.0.0.0").submit(0, "1x1acc/0m/1MiB/1ms checkpoints");
    log.assign(1, "j.0.0.0").end(2, "j.0.0.0", "failed");
    const auto missing = log.report().missing;
    CHECK(missing.jobs_without_needs == 1);
    CHECK(missing.runs_without_needs == 1);
    CHECK(missing.runs_without_start == 1);
    CHECK(missing.runs_without_saved_time == 1);
}

// Guards against an open job that is not late only because it has not ended.
TEST_CASE("Jobs are counted by queue and workspace against their objective", "[losses]") {
    log_builder log;
    // The objective is 3 s.
    log.submit(0, one_task, "early").submit(0, one_task, "late").submit(0, one_task, "open");
    log.submit(0, one_task, "very-late").submit(0, one_task, "cancelled");
    log.add(0, "job-submitted", {{"job", "rejected"}, {"queue", "q"}, {"workspace", "w"}});
    log.assign(0, "open.0.0.0");
    log.finish_job(2.5, "job-completed", "early").finish_job(3.5, "job-completed", "late");
    log.finish_job(9.5, "job-completed", "very-late");
    log.finish_job(10, "job-cancelled", "cancelled");
    const auto report = log.report();
    const auto& counts = report.queues.at("q");
    CHECK(counts.accepted == 5);
    CHECK(counts.ended == 4);
    CHECK(counts.within_objective == 1);
    CHECK(counts.very_late == 2);
    CHECK(counts.waiting == 0);
    CHECK(report.workspaces.at("w").accepted == 5);
}
