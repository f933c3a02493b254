#include <catch2/catch.hpp>

#include "workload/scheduler_fixture.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

job_spec lasting_job(const std::string& id, std::uint32_t accelerators) {
    auto job = job_of(id, 1, accelerators);
    job.steps.front().long_running = true;
    return job;
}

job_spec timed_job(const std::string& id, std::uint32_t tasks, std::uint32_t accelerators,
                   duration estimated) {
    auto job = job_of(id, tasks, accelerators);
    job.steps.front().estimated = estimated;
    return job;
}

/// @return a short gang that is in time for long, so that it ranks before the other jobs
job_spec waiting_gang(std::uint32_t tasks) {
    auto job = job_of("gang", tasks, 8, true);
    job.queue = queue_id{"gangs"};
    job.steps.front().per_task.memory = memory_mib{5'000};
    job.steps.front().estimated = 100ms;
    job.target_completion = 120s;
    return job;
}

/// Runs passes for the given time. Runs make progress as fast as a run of the given time does.
void run_for(scheduler_fixture& fixture, duration span, duration run_time = 100s) {
    const auto end = fixture.now + span;
    while (fixture.now < end) {
        fixture.run_pass();
        const auto progress = static_cast<std::uint32_t>(10s / run_time);
        for (auto& [host, report] : fixture.reports) {
            for (auto& run : report.runs) {
                run.percent = std::min(run.percent + std::max(progress, 1U), 99U);
            }
        }
    }
}

std::size_t runs_of(scheduler_fixture& fixture, const std::string& job) {
    std::size_t count = 0;
    for (const auto& [host, report] : fixture.reports) {
        count += fixture.run_count(host, job);
    }
    return count;
}

}  // namespace

// A run that lasts until it is cancelled was expected to end soon, so the reservation of the gang
// always seemed about to begin.
TEST_CASE("A gang that waits for a lasting run keeps no hosts from other jobs",
          "[scheduler][reservations]") {
    scheduler_fixture fixture;
    for (const auto* host : {"h1", "h2", "h3"}) {
        fixture.add_worker(host);
    }
    fixture.submit(lasting_job("lasting", 1));
    run_for(fixture, 3s);
    REQUIRE(runs_of(fixture, "lasting") == 1);
    fixture.submit(waiting_gang(3));
    run_for(fixture, 1s);
    fixture.submit(timed_job("small", 2, 1, 6s));
    run_for(fixture, 1s);
    CHECK(runs_of(fixture, "gang") == 0);
    CHECK(runs_of(fixture, "small") == 2);
}

// The other side: a gang that can begin keeps the hosts that it needs, with and without a lasting
// run elsewhere.
TEST_CASE("A gang that waits for runs that end is not overtaken by later jobs",
          "[scheduler][reservations]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.add_worker("h2");
    SECTION("no lasting run") {
    }
    SECTION("a lasting run on another host") {
        fixture.add_worker("h3");
        fixture.submit(lasting_job("lasting", 1));
        run_for(fixture, 200ms);
    }
    fixture.submit(timed_job("first", 2, 8, 10s));
    run_for(fixture, 1s);
    REQUIRE(runs_of(fixture, "first") == 2);
    fixture.submit(waiting_gang(2));
    for (int number = 0; number < 20; ++number) {
        fixture.submit(timed_job("long" + std::to_string(number), 1, 6, 60s));
    }
    run_for(fixture, 5s);
    for (auto& [host, report] : fixture.reports) {
        const auto runs = report.runs;
        for (const auto& run : runs) {
            if (run.task.step.job == job_id{"first"}) {
                fixture.end_run(host, run.task, run.run, run_outcome::done);
                run_for(fixture, 1s);
            }
        }
    }
    CHECK(runs_of(fixture, "gang") == 2);
}

// Nothing is known of the end of a lasting run until its job is cancelled.
TEST_CASE("A gang begins after the lasting job is cancelled, although later jobs keep coming",
          "[scheduler][reservations]") {
    scheduler_fixture fixture;
    for (const auto* host : {"h1", "h2", "h3"}) {
        fixture.add_worker(host);
    }
    fixture.submit(lasting_job("lasting", 1));
    run_for(fixture, 1s);
    fixture.submit(waiting_gang(3));
    bool cancelled = false;
    std::map<task_name, time_point> started;
    for (int number = 0; number < 100 && runs_of(fixture, "gang") == 0; ++number) {
        fixture.submit(timed_job("small" + std::to_string(number), 1, 4, 2s));
        run_for(fixture, 300ms, 2s);
        for (auto& [host, report] : fixture.reports) {
            const auto runs = report.runs;
            for (const auto& run : runs) {
                const auto begin = started.try_emplace(run.task, fixture.now).first;
                if (run.task.step.job != job_id{"lasting"} && run.task.step.job != job_id{"gang"} &&
                    fixture.now - begin->second >= 2s) {
                    fixture.end_run(host, run.task, run.run, run_outcome::done);
                }
            }
        }
        if (number == 20) {
            REQUIRE(runs_of(fixture, "gang") == 0);
            fixture.subject.cancel_job(job_id{"lasting"});
            cancelled = true;
        }
    }
    CHECK(cancelled);
    CHECK(runs_of(fixture, "gang") == 3);
}

// A lasting task serves only while it runs, and its estimate says nothing about its end.
TEST_CASE("A lasting task starts at once, on a reserved host only if no other has room",
          "[scheduler][reservations]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(timed_job("first", 1, 8, 20s));
    run_for(fixture, 1s);
    REQUIRE(fixture.run_count("h1", "first") == 1);
    fixture.add_worker("h2");
    fixture.submit(waiting_gang(2));
    auto lasting = lasting_job("lasting", 1);
    lasting.steps.front().estimated = 600s;
    std::string expected_host;
    SECTION("only a reserved host has room") {
        expected_host = "h2";
        run_for(fixture, 300ms);
    }
    SECTION("another host, with too little for the gang, has room") {
        expected_host = "h3";
        run_for(fixture, 300ms);
        fixture.add_worker("h3");
        fixture.reports["h3"].facts.capacity.accelerators = accelerator_count{4};
    }
    SECTION("another host has room, and the estimate is short") {
        expected_host = "h3";
        run_for(fixture, 300ms);
        fixture.add_worker("h3");
        fixture.reports["h3"].facts.capacity.accelerators = accelerator_count{16};
        fixture.reports["h3"].facts.capacity.memory = memory_mib{2'000};
        lasting.steps.front().estimated = 5s;
    }
    fixture.submit(lasting);
    run_for(fixture, 300ms);
    CHECK(fixture.run_count(expected_host, "lasting") == 1);
}

// The same belief made an urgent job wait for the run instead of preempting it.
TEST_CASE("An urgent job does not wait for the end of a lasting run", "[scheduler][reservations]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(lasting_job("lasting", 8));
    run_for(fixture, 20s);
    REQUIRE(runs_of(fixture, "lasting") == 1);
    fixture.submit(urgent_job("urgent", 1, 8));
    run_for(fixture, 500ms);
    CHECK(runs_of(fixture, "urgent") == 1);
}
