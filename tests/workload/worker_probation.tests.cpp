#include <catch2/catch.hpp>

#include "workload/scheduler_fixture.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

job_spec lasting_job(const std::string& id) {
    auto job = job_of(id, 1, 1);
    job.steps.front().long_running = true;
    return job;
}

/// Runs passes for the given time. Runs make one percent of progress in each pass.
void run_for(scheduler_fixture& fixture, duration span) {
    const auto end = fixture.now + span;
    while (fixture.now < end) {
        fixture.run_pass();
        for (auto& [host, report] : fixture.reports) {
            for (auto& run : report.runs) {
                run.percent = std::min(run.percent + 1, 99U);
            }
        }
    }
}

void end_runs_of(scheduler_fixture& fixture, const std::string& host, const std::string& job,
                 run_outcome outcome) {
    const auto runs = fixture.reports[host].runs;
    for (const auto& run : runs) {
        if (run.task.step.job == job_id{job}) {
            fixture.end_run(host, run.task, run.run, outcome);
        }
    }
}

/// Runs two jobs on the host whose tasks fail some time after their start, so that the worker is
/// suspected, and waits until it is on probation.
void put_on_probation(scheduler_fixture& fixture, const std::string& host) {
    for (const std::string name : {"hopeless-1", "hopeless-2"}) {
        auto job = job_of(name, 1, 1);
        job.most_attempts = 1;
        fixture.submit(job);
        run_for(fixture, 1s);
        REQUIRE(fixture.run_count(host, name) == 1);
        end_runs_of(fixture, host, name, run_outcome::failed);
        fixture.run_pass();
    }
    run_for(fixture, 3500ms);
}

}  // namespace

// A worker on probation had to be idle to get a run, which it never is while a lasting task runs
// there.
TEST_CASE("A worker on probation gets a test run although a lasting run is on it",
          "[scheduler][probation]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(lasting_job("lasting"));
    fixture.run_pass();
    fixture.run_pass();
    REQUIRE(fixture.run_count("h1", "lasting") == 1);
    put_on_probation(fixture, "h1");
    fixture.submit(job_of("sound", 1, 1));
    run_for(fixture, 500ms);
    REQUIRE(fixture.run_count("h1", "sound") == 1);

    SECTION("one at a time") {
        fixture.submit(job_of("next", 1, 1));
        run_for(fixture, 1s);
        CHECK(fixture.run_count("h1", "next") == 0);
    }
    SECTION("a success ends the probation") {
        end_runs_of(fixture, "h1", "sound", run_outcome::done);
        fixture.submit(job_of("next", 1, 1));
        fixture.submit(job_of("last", 1, 1));
        run_for(fixture, 1s);
        CHECK(fixture.run_count("h1", "next") + fixture.run_count("h1", "last") == 2);
    }
}

// The test run may itself be one that does not end.
TEST_CASE("A test run that outlasts the earlier failures ends the probation",
          "[scheduler][probation]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    put_on_probation(fixture, "h1");
    auto test = job_of("test", 1, 1);
    test.steps.front().estimated = 600s;
    SECTION("a task that lasts until it is cancelled") {
        test = lasting_job("test");
    }
    SECTION("a long task") {
    }
    fixture.submit(test);
    run_for(fixture, 500ms);
    REQUIRE(fixture.run_count("h1", "test") == 1);
    fixture.submit(job_of("next", 1, 1));
    run_for(fixture, 1s);
    CHECK(fixture.run_count("h1", "next") == 0);
    run_for(fixture, 4s);
    CHECK(fixture.run_count("h1", "next") == 1);
}

// The other side: the lasting run says nothing about runs that start.
TEST_CASE("A worker that fails all that it starts gets few runs, whatever runs there already",
          "[scheduler][probation]") {
    scheduler_fixture fixture;
    fixture.add_worker("faulty");
    fixture.submit(lasting_job("lasting"));
    run_for(fixture, 300ms);
    REQUIRE(fixture.run_count("faulty", "lasting") == 1);
    fixture.add_worker("sound");
    constexpr auto run_time = 8s;
    duration fails_after{};
    SECTION("at once") {
    }
    SECTION("after some seconds") {
        fails_after = 4s;
    }
    const auto end = fixture.now + 60s;
    std::map<std::pair<task_name, run_number>, time_point> started;
    for (unsigned number = 0; fixture.now < end; ++number) {
        auto job = job_of("j" + std::to_string(number), 1, 1);
        job.most_attempts = 100;
        job.steps.front().estimated = run_time;
        fixture.submit(job);
        run_for(fixture, 500ms);
        for (auto& [host, report] : fixture.reports) {
            const auto runs = report.runs;
            for (const auto& run : runs) {
                const auto begin = started.try_emplace({run.task, run.run}, fixture.now).first;
                const auto age = fixture.now - begin->second;
                const bool lasting = run.task.step.job == job_id{"lasting"};
                if (!lasting && host == "sound" && age >= run_time) {
                    fixture.end_run(host, run.task, run.run, run_outcome::done);
                } else if (!lasting && host == "faulty" && age >= fails_after) {
                    fixture.end_run(host, run.task, run.run, run_outcome::failed);
                }
            }
        }
    }
    // The runs until the worker is suspected, then one for each three seconds of probation.
    const auto failed = fixture.subject.counts().failed;
    const auto until_suspected = 1 + fails_after / 500ms;
    CHECK(failed > 2);
    CHECK(failed <= static_cast<std::uint64_t>(until_suspected + 60 / 3));
}
