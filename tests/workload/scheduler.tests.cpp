#include "baobabrack/workload/scheduler.hpp"

#include <catch2/catch.hpp>

#include "workload/scheduler_fixture.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

TEST_CASE("Orders contain only runs whose assignment is stored", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(job_of("j", 1, 1));
    fixture.subject.handle_report(fixture.reports["h1"], fixture.now);
    fixture.subject.decide(&fixture.config, fixture.now, fixture.wall_now);
    CHECK(fixture.subject.orders_for(fixture.reports["h1"]).starts.empty());
    fixture.subject.mark_stored(fixture.subject.drain_batch(false));
    CHECK(fixture.subject.orders_for(fixture.reports["h1"]).starts.size() == 1);
}

TEST_CASE("Ended runs are acknowledged once they are stored", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(job_of("j", 1, 1));
    fixture.run_pass();
    fixture.end_all("h1", run_outcome::done);
    fixture.subject.handle_report(fixture.reports["h1"], fixture.now);
    fixture.subject.decide(&fixture.config, fixture.now, fixture.wall_now);
    CHECK(fixture.subject.orders_for(fixture.reports["h1"]).ends_stored == 0);
    fixture.subject.mark_stored(fixture.subject.drain_batch(false));
    CHECK(fixture.subject.orders_for(fixture.reports["h1"]).ends_stored == 1);
}

TEST_CASE("A run that is being stopped still occupies its resources", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(job_of("first", 1, 8));
    fixture.run_pass();
    fixture.subject.cancel_job(job_id{"first"});
    fixture.submit(job_of("second", 1, 8));
    fixture.subject.decide(&fixture.config, fixture.now, fixture.wall_now);
    fixture.subject.mark_stored(fixture.subject.drain_batch(false));
    const auto orders = fixture.subject.orders_for(fixture.reports["h1"]);
    CHECK(orders.stops.size() == 1);
    CHECK(orders.starts.empty());
}

TEST_CASE("A job fails when a task has used up its attempts", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    auto job = job_of("j", 1, 1);
    job.most_attempts = 2;
    fixture.submit(job);
    for (int attempt = 0; attempt < 2; ++attempt) {
        fixture.run_pass();
        REQUIRE(fixture.run_count("h1") == 1);
        fixture.end_all("h1", run_outcome::failed);
    }
    fixture.run_pass();
    fixture.now += 10s;
    fixture.run_pass();
    CHECK(fixture.run_count("h1") == 0);
    CHECK(fixture.subject.open_jobs() == 0);
}

TEST_CASE("No task of a failed job starts", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.add_worker("h2");
    auto job = job_of("j", 4, 8);
    job.most_attempts = 1;
    fixture.submit(job);
    fixture.run_pass();
    REQUIRE(fixture.run_count("h1") + fixture.run_count("h2") == 2);
    const auto started = fixture.subject.counts().started;
    fixture.end_all("h1", run_outcome::failed);
    for (int pass = 0; pass < 5; ++pass) {
        fixture.run_pass();
    }
    CHECK(fixture.subject.counts().started == started);
    CHECK(fixture.subject.open_jobs() == 0);
}

TEST_CASE("A gang that loses a run stops its other runs before it restarts", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.add_worker("h2");
    fixture.submit(job_of("j", 2, 8, true));
    for (int pass = 0; pass < 10; ++pass) {
        fixture.run_pass();
    }
    REQUIRE(fixture.run_count("h1") + fixture.run_count("h2") == 2);
    fixture.end_all("h1", run_outcome::failed);
    fixture.run_pass();
    CHECK(fixture.run_count("h1") == 0);
    CHECK(fixture.run_count("h2") == 0);
    fixture.run_pass();
    fixture.run_pass();
    CHECK(fixture.run_count("h1") + fixture.run_count("h2") == 2);
}

// One worker of a gang lists its ended run late.
TEST_CASE("One completed run of a gang completes its step, and the others keep their resources",
          "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.add_worker("h2");
    fixture.submit(job_of("gang", 2, 8, true));
    fixture.run_pass();
    REQUIRE(fixture.run_count("h1", "gang") == 1);
    fixture.end_all("h1", run_outcome::done);
    fixture.subject.handle_report(fixture.reports["h1"], fixture.now);
    fixture.subject.decide(&fixture.config, fixture.now, fixture.wall_now);
    const auto batch = fixture.subject.drain_batch(false);
    REQUIRE(batch.changes.size() == 1);
    CHECK(batch.changes[0].progress.phase == job_phase::completed);
    fixture.subject.mark_stored(batch);
    CHECK(fixture.subject.open_jobs() == 1);
    fixture.submit(job_of("next", 2, 8));
    fixture.run_pass();
    CHECK(fixture.run_count("h1", "next") == 1);
    CHECK(fixture.run_count("h2", "next") == 0);
    fixture.end_all("h2", run_outcome::done);
    fixture.run_pass();
    fixture.run_pass();
    CHECK(fixture.run_count("h2", "next") == 1);
    CHECK(fixture.subject.open_jobs() == 1);
}

// The stored job kept the service of the configuration under which it was accepted.
TEST_CASE("The next step of an accepted job follows its queue to another service", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("a1");
    fixture.add_worker("b1", "r2", "other");
    fixture.config.version = config_version{3};
    fixture.config.queues.push_back({.id = queue_id{"queue"}, .service = service_id{"service"}});
    auto job = job_of("j", 1, 1);
    job.config = config_version{3};
    job.steps.push_back(job.steps.front());
    job.steps.back().after = {0};
    fixture.submit(job);
    fixture.run_pass();
    REQUIRE(fixture.run_count("a1") == 1);
    auto& queue = fixture.config.queues.front();
    queue.service = service_id{"other"};
    auto* expected_host = "b1";
    SECTION("a newer configuration") {
        fixture.config.version = config_version{4};
    }
    SECTION("the configuration of a scheduler that is behind the one that accepted the job") {
        fixture.config.version = config_version{2};
        expected_host = "a1";
    }
    SECTION("a newer configuration without the queue") {
        fixture.config.version = config_version{4};
        fixture.config.queues.clear();
        expected_host = "a1";
    }
    SECTION("the other service has no suitable worker") {
        fixture.config.version = config_version{4};
        fixture.reports["b1"].facts.capacity.accelerators = accelerator_count{0};
        expected_host = "a1";
    }
    SECTION("the queue goes back") {
        fixture.config.version = config_version{4};
        fixture.run_pass();
        fixture.config.version = config_version{5};
        queue.service = service_id{"service"};
        expected_host = "a1";
    }
    fixture.run_pass();
    CHECK(fixture.run_count("a1") == 1);
    fixture.end_all("a1", run_outcome::done);
    fixture.run_pass();
    CHECK(fixture.run_count(expected_host) == 1);
}

// An urgent job within its workspace's guarantee arrives while jobs of lower priority use all
// capacity.
TEST_CASE("A guaranteed job preempts lower priorities at once", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    auto low = job_of("low", 8, 1);
    low.steps.front().estimated = 20s;
    fixture.submit(low);
    fixture.run_pass();
    REQUIRE(fixture.run_count("h1", "low") == 8);
    fixture.submit(urgent_job("high", 1, 8));
    fixture.run_pass();
    fixture.run_pass();
    CHECK(fixture.run_count("h1", "high") == 1);
}

// The run could end at any moment, so each pass expected that it was about to.
// The positions of a service's workers were overwritten by those of the service placed after it.
TEST_CASE("A guaranteed job preempts although a group of another service is placed before it",
          "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("a1");
    fixture.add_worker("b1", "r2", "other");
    auto low = job_of("low", 1, 7);
    low.steps.front().estimated = 60s;
    fixture.submit(low);
    fixture.run_pass();
    REQUIRE(fixture.run_count("a1") == 1);
    fixture.submit(urgent_job("fits", 1, 1));
    auto other = urgent_job("other", 1, 2);
    other.service = service_id{"other"};
    fixture.submit(other);
    fixture.submit(urgent_job("preempts", 1, 5));
    fixture.run_pass();
    CHECK(fixture.run_count("a1", "fits") == 1);
    CHECK(fixture.run_count("b1", "other") == 1);
    fixture.run_pass();
    fixture.run_pass();
    CHECK(fixture.run_count("a1", "low") == 0);
    CHECK(fixture.run_count("a1", "preempts") == 1);
}

TEST_CASE("A guaranteed job does not wait for a run that is past its expected end", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    auto low = job_of("low", 1, 8);
    low.steps.front().estimated = 5s;
    fixture.submit(low);
    std::uint32_t passes = 0;
    const auto run_pass = [&] {
        fixture.run_pass();
        ++passes;
        for (auto& run : fixture.reports["h1"].runs) {
            run.percent = std::min(99U, 2 * passes);
        }
    };
    while (passes < 40) {
        run_pass();
    }
    fixture.submit(urgent_job("high", 1, 8));
    const auto deadline = fixture.now + scheduler::options{}.reclaim_timeout;
    while (fixture.run_count("h1", "high") == 0 && fixture.now < deadline) {
        run_pass();
    }
    CHECK(fixture.run_count("h1", "high") == 1);
    // The worker needs some time to stop and to start a run.
    CHECK(fixture.now < deadline - 700ms);
}

// An urgent job has several tasks, each of which needs a whole host.
TEST_CASE("Capacity is freed for each task of an urgent step in the same pass", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.config.workspaces.front().guaranteed = accelerator_count{32};
    for (const auto* host : {"h1", "h2", "h3"}) {
        fixture.add_worker(host);
    }
    auto low = job_of("low", 24, 1);
    low.steps.front().estimated = 20s;
    fixture.submit(low);
    fixture.run_pass();
    fixture.submit(urgent_job("high", 3, 8));
    fixture.run_pass();
    fixture.run_pass();
    CHECK(fixture.run_count("h1", "high") + fixture.run_count("h2", "high") +
              fixture.run_count("h3", "high") ==
          3);
}

// Urgent jobs arrive one after another. If each preempted the task that started last, the same task
// would be preempted every time.
TEST_CASE("A task that was preempted before is spared if another can be preempted", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.config.workspaces.front().guaranteed = accelerator_count{64};
    fixture.add_worker("h1");
    fixture.add_worker("h2");
    for (const auto* id : {"a", "b"}) {
        auto job = job_of(id, 1, 8);
        job.steps.front().estimated = 20s;
        fixture.submit(job);
        fixture.run_pass();
    }
    for (int pass = 0; pass < 3; ++pass) {
        fixture.run_pass();
    }
    // Job b started last and is preempted.
    fixture.submit(urgent_job("first", 1, 8));
    fixture.run_pass();
    fixture.run_pass();
    const auto b_host = fixture.run_count("h1", "first") == 1 ? "h1" : "h2";
    REQUIRE(fixture.run_count(b_host, "b") == 0);
    fixture.end_all(b_host, run_outcome::done);
    fixture.run_pass();
    fixture.run_pass();
    REQUIRE(fixture.run_count(b_host, "b") == 1);
    fixture.submit(urgent_job("second", 1, 8));
    fixture.run_pass();
    fixture.run_pass();
    CHECK(fixture.run_count(b_host, "b") == 1);
}

// A job outside its workspace's guarantee arrives when other work is nearly done.
TEST_CASE("Preemption beyond a guarantee discards little work against that of the job",
          "[scheduler]") {
    scheduler_fixture fixture;
    fixture.config.workspaces.front().guaranteed = accelerator_count{0};
    fixture.add_worker("h1");
    fixture.submit(job_of("low", 1, 8));
    fixture.run_pass();
    auto short_job = urgent_job("high", 1, 8);
    // The run of the other job has lasted 600 ms by then.
    short_job.steps.front().estimated = GENERATE(100ms, 900ms);
    for (int pass = 0; pass < 5; ++pass) {
        fixture.reports["h1"].runs.front().percent += 10;
        fixture.run_pass();
    }
    fixture.submit(short_job);
    fixture.run_pass();
    CHECK(fixture.run_count("h1", "low") == 1);
}

// In a burst, jobs with estimates that are far too short were ranked behind all others as late.
TEST_CASE("A job with a wrong estimate is ranked by the usual run time of its queue",
          "[scheduler]") {
    scheduler_fixture fixture;
    fixture.config.workspaces.front().guaranteed = accelerator_count{0};
    fixture.add_worker("h1");
    for (int number = 0; number < 8; ++number) {
        auto earlier = urgent_job("earlier-" + std::to_string(number), 1, 8);
        earlier.steps.front().estimated = number % 2 == 0 ? 400ms : 9s;
        fixture.submit(earlier);
        fixture.run_pass();
        for (int pass = 0; pass < 20; ++pass) {
            fixture.reports["h1"].runs.front().percent = static_cast<std::uint32_t>(pass * 5);
            fixture.run_pass();
        }
        fixture.end_all("h1", run_outcome::done);
        fixture.run_pass();
    }
    fixture.submit(urgent_job("running", 1, 8));
    fixture.run_pass();
    auto waiting = urgent_job("a-waiting", 1, 8);
    waiting.steps.front().estimated = 300ms;
    waiting.slack_factor = 1.5;
    fixture.submit(waiting);
    for (int pass = 0; pass < 20; ++pass) {
        fixture.reports["h1"].runs.front().percent = static_cast<std::uint32_t>(pass * 5);
        fixture.run_pass();
    }
    auto newer = urgent_job("newer", 1, 8);
    newer.steps.front().estimated = 2s;
    newer.slack_factor = 1.5;
    fixture.submit(newer);
    fixture.end_all("h1", run_outcome::done);
    fixture.run_pass();
    fixture.run_pass();
    CHECK(fixture.run_count("h1", "a-waiting") == 1);
}

// The rack of the data is busy for a short time, and the run takes three times as long elsewhere.
TEST_CASE("A task waits for the rack of its data if it ends sooner that way", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("near", "r1");
    fixture.add_worker("far", "r2");
    fixture.reports["far"].facts.draining = true;
    fixture.submit(job_of("busy", 1, 8));
    fixture.run_pass();
    REQUIRE(fixture.run_count("near") == 1);
    fixture.reports["far"].facts.draining = false;
    auto job = job_of("j", 1, 8);
    job.steps.front().data_rack = rack_id{"r1"};
    fixture.submit(job);
    fixture.run_pass();
    CHECK(fixture.run_count("far") == 0);
    fixture.end_all("near", run_outcome::done);
    fixture.run_pass();
    CHECK(fixture.run_count("near", "j") == 1);
}

// A worker becomes slow during a run while another worker is idle.
TEST_CASE("A run that becomes slow is moved once", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    auto job = job_of("j", 1, 8);
    job.steps.front().estimated = 20s;
    fixture.submit(job);
    fixture.run_pass();
    REQUIRE(fixture.run_count("h1") == 1);
    fixture.add_worker("h2");
    for (int pass = 0; pass < 20; ++pass) {
        ++fixture.reports["h1"].runs.front().percent;
        fixture.run_pass();
    }
    REQUIRE(fixture.run_count("h1") == 1);
    for (int pass = 0; pass < 100 && fixture.run_count("h1") > 0; ++pass) {
        if (pass % 10 == 9) {
            ++fixture.reports["h1"].runs.front().percent;
        }
        fixture.run_pass();
    }
    fixture.run_pass();
    CHECK(fixture.run_count("h2", "j") == 1);
}

// A queue's estimates are a tenth of the actual run times, and every worker has normal speed.
TEST_CASE("A run that takes far longer than its estimate is not moved", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.add_worker("h2");
    auto job = job_of("j", 1, 8);
    job.steps.front().estimated = 2s;
    fixture.submit(job);
    fixture.run_pass();
    const auto* host = fixture.run_count("h1") == 1 ? "h1" : "h2";
    for (int pass = 0; pass < 180; ++pass) {
        fixture.reports[host].runs.front().percent = 1 + static_cast<std::uint32_t>(pass) / 2;
        fixture.run_pass();
        REQUIRE(fixture.run_count(host) == 1);
    }
}

// Tasks of one step run on several workers, one of which is slow from the start.
TEST_CASE("A run that is much slower than its siblings is moved", "[scheduler]") {
    scheduler_fixture fixture;
    for (const auto* host : {"h1", "h2", "h3", "h4"}) {
        fixture.add_worker(host);
    }
    auto job = job_of("j", 4, 8);
    job.steps.front().estimated = 20s;
    fixture.submit(job);
    fixture.run_pass();
    REQUIRE(fixture.run_count("h4") == 1);
    fixture.add_worker("h5");
    for (std::uint32_t pass = 0; pass < 60 && fixture.run_count("h4") > 0; ++pass) {
        for (const auto* host : {"h1", "h2", "h3"}) {
            fixture.reports[host].runs.front().percent = 1 + pass;
        }
        fixture.reports["h4"].runs.front().percent = 1 + pass / 8;
        fixture.run_pass();
    }
    fixture.run_pass();
    CHECK(fixture.run_count("h5", "j") == 1);
}

// Replies of a worker are lost, so its guard reports the same lists several times.
TEST_CASE("A run is not considered slow because its worker's lists are old", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.add_worker("h2");
    auto job = job_of("j", 1, 8);
    job.steps.front().estimated = 10s;
    fixture.submit(job);
    fixture.run_pass();
    const auto* host = fixture.run_count("h1") == 1 ? "h1" : "h2";
    for (std::uint32_t pass = 0; pass < 90; ++pass) {
        auto& report = fixture.reports[host];
        const bool fresh = pass % 11 == 0;
        report.lists_age = fresh ? 0ms : report.lists_age + 100ms;
        if (fresh) {
            report.runs.front().percent = 1 + pass;
        }
        fixture.run_pass();
        REQUIRE(fixture.run_count(host) == 1);
    }
}

// A worker fails every run right after its start, and only this worker has free capacity.
TEST_CASE("A run that failed right after its start is not restarted on the same host",
          "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.add_worker("h2");
    fixture.submit(job_of("long", 1, 8));
    fixture.run_pass();
    const std::string busy = fixture.run_count("h1") == 1 ? "h1" : "h2";
    const std::string failing = busy == "h1" ? "h2" : "h1";
    fixture.submit(job_of("j", 1, 8));
    fixture.run_pass();
    REQUIRE(fixture.run_count(failing, "j") == 1);
    fixture.end_all(failing, run_outcome::failed);
    for (int pass = 0; pass < 20; ++pass) {
        fixture.run_pass();
        REQUIRE(fixture.run_count(failing, "j") == 0);
    }
    fixture.end_all(busy, run_outcome::done);
    fixture.run_pass();
    fixture.run_pass();
    CHECK(fixture.run_count(busy, "j") == 1);
}

// One worker of a gang stalls and blocks the others.
TEST_CASE("A stalled gang does not make all of its workers unhealthy", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.add_worker("h2");
    auto gang = job_of("gang", 2, 8, true);
    fixture.submit(gang);
    fixture.run_pass();
    REQUIRE(fixture.run_count("h1", "gang") == 1);
    for (int pass = 0; pass < 60 && fixture.subject.counts().started < 4; ++pass) {
        fixture.run_pass();
    }
    CHECK(fixture.subject.counts().started == 4);
}

// An urgent job arrives shortly before enough capacity becomes free without preemption.
TEST_CASE("Nothing is preempted for an urgent job that can meet its objective by waiting",
          "[scheduler]") {
    scheduler_fixture fixture;
    fixture.config.workspaces.front().guaranteed = accelerator_count{0};
    fixture.add_worker("h1");
    auto low = job_of("low", 1, 8);
    low.steps.front().estimated = 2s;
    fixture.submit(low);
    for (std::uint32_t pass = 0; pass < 16; ++pass) {
        fixture.run_pass();
        fixture.reports["h1"].runs.front().percent = 5 * (pass + 1);
    }
    auto job = urgent_job("high", 1, 8);
    job.steps.front().estimated = 4s;
    job.slack_factor = 1.5;
    fixture.submit(job);
    fixture.run_pass();
    fixture.run_pass();
    CHECK(fixture.subject.counts().preempted == 0);
    CHECK(fixture.run_count("h1", "low") == 1);
}

TEST_CASE("A stalled run is stopped and restarted elsewhere", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(job_of("j", 1, 8));
    fixture.run_pass();
    fixture.add_worker("h2");
    for (int pass = 0; pass < 30; ++pass) {
        fixture.run_pass();
    }
    CHECK(fixture.run_count("h2", "j") == 1);
}

// A restarted guard receives an announcement that was sent before its worker's last crash.
TEST_CASE("Runs are not lost to a worker instance that has not responded", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(job_of("j", 1, 8));
    fixture.run_pass();
    REQUIRE(fixture.run_count("h1", "j") == 1);
    auto other = fixture.reports["h1"];
    other.facts.instance.version = incarnation{9};
    other.runs.clear();
    other.lists_known = false;
    // Nor may the lease be extended, as this scheduler expects it to expire.
    CHECK_FALSE(fixture.subject.handle_report(other, fixture.now));
    CHECK(fixture.subject.counts().lost == 0);
    other.lists_known = true;
    CHECK(fixture.subject.handle_report(other, fixture.now));
    CHECK(fixture.subject.counts().lost == 1);
}

TEST_CASE("An occurrence does not start before it is due", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    auto job = job_of("j", 1, 1);
    job.occurrences = 2;
    job.first_due = fixture.wall_now + 1s;
    job.interval = 1s;
    fixture.submit(job);
    for (int pass = 0; pass < 10; ++pass) {
        fixture.run_pass();
        CHECK(fixture.run_count("h1") == 0);
    }
    fixture.run_pass();
    fixture.run_pass();
    CHECK(fixture.run_count("h1") == 1);
}

TEST_CASE("Nothing starts without a current configuration", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(job_of("j", 1, 1));
    fixture.subject.handle_report(fixture.reports["h1"], fixture.now);
    fixture.subject.decide(nullptr, fixture.now, fixture.wall_now);
    CHECK(fixture.subject.drain_batch(false).changes.empty());
}

TEST_CASE("Draining workers and workers with orphaned runs get no runs", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(job_of("j", 1, 1));
    SECTION("draining") {
        fixture.reports["h1"].facts.draining = true;
        fixture.run_pass();
        CHECK(fixture.run_count("h1") == 0);
    }
    SECTION("orphaned runs are stopped first") {
        fixture.reports["h1"].runs.push_back(
            {.task = {.step = {.job = job_id{"orphan"}}}, .run = run_number{1}});
        fixture.run_pass();
        CHECK(fixture.run_count("h1", "j") == 0);
        fixture.run_pass();
        fixture.run_pass();
        CHECK(fixture.run_count("h1", "j") == 1);
    }
}

TEST_CASE("A crash of a worker is logged with the time that each of its runs has lasted",
          "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(job_of("old", 1, 1));
    for (int pass = 0; pass < 20; ++pass) {
        fixture.run_pass();
    }
    fixture.submit(job_of("young", 1, 1));
    fixture.run_pass();
    const auto event = fixture.crash("h1");
    CHECK(event.event == "worker-crashed");
    CHECK(event.detail.find("old.0.0.0 after 1900 ms") != std::string::npos);
    CHECK(event.detail.find("young.0.0.0 after 0 ms") != std::string::npos);
    CHECK(fixture.subject.counts().worker_crashes == 1);
}

// Reports come every 500 ms, and an idle worker returns lists every 500 ms.
TEST_CASE("A crash is not explained by workers whose lists are merely as old as they may be",
          "[scheduler][crashes]") {
    scheduler_fixture fixture;
    for (const auto* host : {"h1", "h2", "h3"}) {
        fixture.add_worker(host);
    }
    fixture.submit(job_of("j", 1, 8));
    fixture.reports["h2"].lists_age = 490ms;
    fixture.reports["h3"].lists_age = 490ms;
    fixture.run_pass();
    REQUIRE(fixture.run_count("h1") == 1);
    fixture.now += 390ms;
    const auto event = fixture.crash("h1");
    CHECK(event.event == "worker-crashed");
    CHECK(event.detail.find("no other worker crashed") != std::string::npos);
}

// A start that reached the worker after it had restarted under its id.
TEST_CASE("A run that a newer instance of its worker has is not lost", "[scheduler][crashes]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.add_worker("h2");
    fixture.submit(job_of("j", 1, 8));
    fixture.run_pass();
    const std::string host = fixture.run_count("h1") == 1 ? "h1" : "h2";
    auto& report = fixture.reports[host];
    report.facts.instance.version = incarnation{2};
    SECTION("it goes on") {
        fixture.run_pass();
        CHECK(fixture.run_count(host) == 1);
    }
    SECTION("it has ended") {
        fixture.end_all(host, run_outcome::done);
        fixture.run_pass();
        CHECK(fixture.subject.open_jobs() == 0);
    }
    CHECK(fixture.run_count("h1") + fixture.run_count("h2") == report.runs.size());
    CHECK(fixture.subject.counts().lost == 0);
}

// The guard was down until the lease had expired, and then reports an end from before.
TEST_CASE("A start that was not sent before its worker crashed does not count",
          "[scheduler][crashes]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(job_of("j", 1, 1));
    const bool sent = GENERATE(false, true);
    unsigned starts = 0;
    for (std::uint64_t crash = 1; crash <= 8 && fixture.subject.open_jobs() > 0; ++crash) {
        auto& report = fixture.reports["h1"];
        fixture.subject.handle_report(report, fixture.now);
        fixture.subject.decide(&fixture.config, fixture.now, fixture.wall_now);
        fixture.subject.mark_stored(fixture.subject.drain_batch(true));
        const auto orders = fixture.subject.orders_for(report);
        starts += static_cast<unsigned>(orders.starts.size());
        report.replaced =
            replaced_worker{.instance = report.facts.instance, .lists_age = 100ms, .runs = {}};
        for (const auto& start : orders.starts) {
            if (sent) {
                report.replaced->runs.push_back({.task = start.task, .run = start.run});
            }
        }
        report.facts.instance.version = incarnation{crash + 1};
        fixture.now += 10s;
        fixture.wall_now += 10s;
    }
    CHECK((fixture.subject.open_jobs() == 0) == sent);
    CHECK(starts >= (sent ? 3U : 7U));
}

// On days on which many tasks crash their workers, sound jobs beside them were given up. A task
// that crashes its workers late has younger runs beside it each time as well, so the limit on
// crashes allows four.
TEST_CASE("A settled run beside younger ones that crash its worker is excused once, then on trial",
          "[scheduler][crashes]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    auto old = job_of("old", 1, 1);
    old.steps.front().estimated = 60s;
    fixture.submit(old);
    constexpr std::uint64_t crashes = 4;
    for (std::uint64_t crash = 1; crash <= crashes; ++crash) {
        fixture.run_pass();
        REQUIRE(fixture.run_count("h1", "old") == 1);
        const auto young = "young-" + std::to_string(crash);
        const bool on_trial = crash > 2;
        if (on_trial) {
            fixture.submit(job_of(young, 1, 1));
        }
        for (std::uint32_t pass = 1; pass <= 30 * crash; ++pass) {
            for (auto& run : fixture.reports["h1"].runs) {
                run.percent = pass;
            }
            // No other run starts beside the trial, so it ends by itself if the run is sound.
            CHECK((!on_trial || fixture.subject.counts().trials_passed == crash - 2 ||
                   fixture.run_count("h1", young) == 0));
            fixture.run_pass();
        }
        if (!on_trial) {
            fixture.submit(job_of(young, 1, 1));
        }
        fixture.run_pass();
        REQUIRE(fixture.run_count("h1", "old") == 1);
        REQUIRE(fixture.run_count("h1", young) == 1);
        auto& report = fixture.reports["h1"];
        report.facts.instance.version = incarnation{crash + 1};
        report.runs.clear();
        fixture.now += 3s;
        fixture.subject.handle_report(report, fixture.now);
        fixture.subject.cancel_job(job_id{young});
    }
    fixture.run_pass();
    CHECK(fixture.run_count("h1", "old") == 1);
    CHECK(fixture.subject.counts().given_up == 0);
}

TEST_CASE("A start that an earlier leader ordered counts although the worker has returned no lists",
          "[scheduler][crashes]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    auto& report = fixture.reports["h1"];
    auto spec = job_of("j", 1, 1);
    job_progress progress{.phase = job_phase::active, .occurrences = {}};
    progress.occurrences.push_back(new_occurrence(spec, 0));
    progress.occurrences[0].steps[0][0] = {
        .phase = task_phase::assigned, .run = run_number{1}, .place = report.facts.instance};
    fixture.subject.add_job({.spec = spec, .progress = progress, .cancelled = false}, fixture.now);
    report.lists_known = false;
    report.lease_suspended = true;
    for (int second = 0; second < 12; ++second) {
        fixture.subject.handle_report(report, fixture.now);
        fixture.subject.decide(&fixture.config, fixture.now, fixture.wall_now);
        fixture.now += 1s;
    }
    const auto events = fixture.subject.drain_decision_events();
    const auto crashed = std::find_if(events.begin(), events.end(), [](const auto& event) {
        return event.event == "run-crashed";
    });
    REQUIRE(crashed != events.end());
    CHECK(crashed->detail.starts_with("counted"));
}

// They waited for each other's trials while most of the capacity was free.
TEST_CASE("Jobs that need a trial start within three seconds", "[scheduler][crashes]") {
    scheduler_fixture fixture;
    for (const auto* host : {"h1", "h2", "h3", "h4"}) {
        fixture.add_worker(host);
    }
    constexpr std::uint64_t jobs = 12;
    for (std::uint64_t number = 0; number < jobs; ++number) {
        auto spec = job_of("j" + std::to_string(number), 1, 1);
        spec.steps.front().estimated = 20s;
        job_progress progress{.phase = job_phase::active, .occurrences = {}};
        progress.occurrences.push_back(new_occurrence(spec, 0));
        progress.occurrences[0].steps[0][0].crashes = {
            .crashes = 1, .early_crashes = 1, .trial = 1500ms};
        fixture.subject.add_job({.spec = spec, .progress = progress, .cancelled = false},
                                fixture.now);
    }
    const auto deadline = fixture.now + 3s;
    fixture.run_pass();
    CHECK(fixture.subject.counts().started == 2);
    while (fixture.now < deadline) {
        fixture.run_pass();
    }
    CHECK(fixture.subject.counts().started == jobs);
}

// Which of them crashes the worker does not matter, as the job is given up as a whole.
TEST_CASE("Suspected tasks of one job are on trial together on one worker",
          "[scheduler][crashes]") {
    scheduler_fixture fixture;
    for (const auto* host : {"h1", "h2", "h3", "h4"}) {
        fixture.add_worker(host);
    }
    auto spec = job_of("j", 10, 1);
    job_progress progress{.phase = job_phase::active, .occurrences = {}};
    progress.occurrences.push_back(new_occurrence(spec, 0));
    for (std::size_t index = 0; index < 9; ++index) {
        progress.occurrences[0].steps[0][index].crashes = {
            .crashes = 1, .early_crashes = 1, .trial = 1500ms};
    }
    fixture.subject.add_job({.spec = spec, .progress = progress, .cancelled = false}, fixture.now);
    fixture.run_pass();
    CHECK(fixture.subject.counts().started == 8);
    CHECK(fixture.run_count("h1") == 8);
    for (std::uint32_t pass = 1; pass <= 45; ++pass) {
        for (auto& [host, report] : fixture.reports) {
            for (auto& run : report.runs) {
                run.percent = 2 * pass;
            }
        }
        fixture.run_pass();
    }
    CHECK(fixture.subject.counts().started == 10);
    CHECK(fixture.subject.counts().trials_passed == 9);
}

TEST_CASE("Starts of tasks that were lost in crashes are sent only to workers that respond",
          "[scheduler][crashes]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(job_of("j", 1, 1));
    const auto start = [&] {
        auto& report = fixture.reports["h1"];
        fixture.subject.handle_report(report, fixture.now);
        fixture.subject.decide(&fixture.config, fixture.now, fixture.wall_now);
        fixture.subject.mark_stored(fixture.subject.drain_batch(true));
        const auto orders = fixture.subject.orders_for(report);
        REQUIRE(orders.starts.size() == 1);
        return orders.starts.front();
    };
    CHECK_FALSE(start().confirm_worker);
    fixture.run_pass();
    fixture.now += 5s;
    fixture.crash("h1");
    fixture.now += 10s;
    CHECK(start().confirm_worker);
}

TEST_CASE("The end of a run that was taken for lost counts while its task waits", "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    auto job = job_of("j", 1, 1);
    job.most_attempts = 1;
    fixture.submit(job);
    fixture.run_pass();
    REQUIRE(fixture.run_count("h1") == 1);
    const auto outcome = GENERATE(run_outcome::done, run_outcome::failed);
    const auto run = fixture.reports["h1"].runs.front();
    fixture.reports["h1"].runs.clear();
    fixture.now += 20s;
    fixture.subject.decide(&fixture.config, fixture.now, fixture.wall_now);
    fixture.subject.mark_stored(fixture.subject.drain_batch(true));
    REQUIRE(fixture.subject.counts().lost == 1);
    fixture.reports["h1"].ends.push_back(
        {.sequence = 1, .task = run.task, .run = run.run, .outcome = outcome});
    fixture.run_pass();
    CHECK(fixture.subject.counts().started == 1);
    CHECK(fixture.subject.open_jobs() == 0);
    CHECK(fixture.subject.counts().done == (outcome == run_outcome::done ? 1 : 0));
}

// The capacity of a worker shrinks below what its runs use.
// The job was shown as failed although its task had failed only once.
TEST_CASE("An end that two leaders receive is counted once", "[scheduler]") {
    scheduler_fixture first;
    first.add_worker("h1");
    auto job = job_of("j", 1, 1);
    job.most_attempts = 2;
    first.submit(job);
    first.run_pass();
    REQUIRE(first.run_count("h1") == 1);
    const bool lost = GENERATE(false, true);
    const auto run = first.reports["h1"].runs.front();
    if (lost) {
        first.reports["h1"].runs.clear();
        first.now += 20s;
    } else {
        first.end_all("h1", run_outcome::failed);
        first.subject.handle_report(first.reports["h1"], first.now);
    }
    first.subject.decide(nullptr, first.now, first.wall_now);
    const auto batch = first.subject.drain_batch(true);
    REQUIRE(batch.changes.size() == 1);
    const auto stored = from_wire(job, to_wire(batch.changes.front().progress));

    scheduler_fixture second;
    second.reports = first.reports;
    if (lost) {
        second.end_run("h1", run.task, run.run, run_outcome::failed);
    }
    second.subject.add_job({.spec = job, .progress = stored, .cancelled = false}, second.now);
    second.subject.handle_report(second.reports["h1"], second.now);
    second.subject.decide(nullptr, second.now, second.wall_now);
    CHECK(second.subject.open_jobs() == 1);
    const auto changes = second.subject.drain_batch(true).changes;
    const auto& progress = changes.empty() ? stored : changes.front().progress;
    CHECK(progress.occurrences[0].steps[0][0].failures.count() == 1);
}

TEST_CASE("Preemption on a worker that is over its capacity frees enough at once",
          "[scheduler][capacity]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    auto low = job_of("low", 8, 1);
    low.steps.front().estimated = 20s;
    fixture.submit(low);
    fixture.run_pass();
    REQUIRE(fixture.run_count("h1", "low") == 8);
    fixture.reports["h1"].facts.capacity.accelerators = accelerator_count{4};
    fixture.submit(urgent_job("high", 1, 2));
    fixture.run_pass();
    CHECK(fixture.run_count("h1", "low") == 2);
    fixture.run_pass();
    CHECK(fixture.run_count("h1", "high") == 1);
}

TEST_CASE("Capacity that ends of runs free is not promised while a worker is over its capacity",
          "[capacity]") {
    worker_facts facts;
    facts.instance.host = host_id{"h"};
    facts.capacity = {.cpu = cpu_millicores{8000},
                      .memory = memory_mib{8000},
                      .accelerators = accelerator_count{4}};
    const resources used{.cpu = cpu_millicores{6000},
                         .memory = memory_mib{6000},
                         .accelerators = accelerator_count{7}};
    const resources run{.accelerators = accelerator_count{2}};
    const time_point now{100s};
    const capacity_forecast forecast({make_candidate(facts, used)},
                                     {{.time = now + 1s, .host_index = 0, .amount = run},
                                      {.time = now + 2s, .host_index = 0, .amount = run}});
    CHECK(forecast.available()[0].available.accelerators.get() == 0);
    CHECK(forecast.unreserved_at(now + 1s)[0].available.accelerators.get() == 0);
    CHECK(forecast.unreserved_at(now + 2s)[0].available.accelerators.get() == 1);
}

// A new leader reads assignments of two instances of one worker, and hears of the later one first.
TEST_CASE("Resources of runs that an earlier leader assigned to a new instance are counted",
          "[scheduler][capacity]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    auto instance = fixture.reports["h1"].facts.instance;
    for (const auto* id : {"a-old", "b-new"}) {
        auto spec = job_of(id, 1, 4);
        job_progress progress{.phase = job_phase::active, .occurrences = {}};
        progress.occurrences.push_back(new_occurrence(spec, 0));
        progress.occurrences[0].steps[0][0] = {
            .phase = task_phase::assigned, .run = run_number{1}, .place = instance};
        fixture.subject.add_job({.spec = spec, .progress = progress, .cancelled = false},
                                fixture.now);
        instance.version = incarnation{2};
    }
    auto& report = fixture.reports["h1"];
    report.facts.instance = instance;
    report.runs.push_back({.task = {.step = {.job = job_id{"b-new"}}}, .run = run_number{1}});
    fixture.submit(urgent_job("whole", 1, 8));
    fixture.subject.handle_report(report, fixture.now);
    CHECK(fixture.subject.workers().find(host_id{"h1"})->used.accelerators.get() == 4);
}

TEST_CASE("Orders say what a run needs if its guard does not know", "[scheduler][capacity]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(job_of("j", 1, 3));
    fixture.run_pass();
    REQUIRE(fixture.run_count("h1") == 1);
    auto& report = fixture.reports["h1"];
    CHECK(fixture.subject.orders_for(report).needs.empty());
    report.runs[0].needs_unknown = true;
    report.runs.push_back(
        {.task = {.step = {.job = job_id{"ended"}}}, .run = run_number{1}, .needs_unknown = true});
    const auto needs = fixture.subject.orders_for(report).needs;
    REQUIRE(needs.size() == 1);
    CHECK(needs[0].task.step.job == job_id{"j"});
    CHECK(needs[0].needs.accelerators == accelerator_count{3});
}

TEST_CASE("Capacity that has grown is used in the next pass", "[scheduler][capacity]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.reports["h1"].facts.capacity.accelerators = accelerator_count{2};
    fixture.submit(job_of("j", 1, 8));
    for (int pass = 0; pass < 4; ++pass) {
        fixture.run_pass();
    }
    fixture.subject.drain_changed_hosts();
    REQUIRE(fixture.run_count("h1") == 0);
    fixture.reports["h1"].facts.capacity.accelerators = accelerator_count{8};
    fixture.run_pass();
    CHECK(fixture.run_count("h1") == 1);
}

// A new leader has read the progress of a job, but reads the topic of submissions with a delay. The
// end of the job's run was acknowledged and lost, and the task ran twice.
TEST_CASE("The end of a run is not acknowledged before its job's submission has been read",
          "[scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    auto& report = fixture.reports["h1"];
    const auto spec = job_of("j", 2, 1);
    job_progress progress{.phase = job_phase::active, .occurrences = {}};
    progress.occurrences.push_back(new_occurrence(spec, 0));
    for (auto& assigned : progress.occurrences[0].steps[0]) {
        assigned = {
            .phase = task_phase::assigned, .run = run_number{1}, .place = report.facts.instance};
    }
    job_table book;
    book.apply_progress("progress/j", to_wire(progress).SerializeAsString(), log_offset{1});
    fixture.subject.load(book, fixture.now, fixture.now);
    const task_name first{.step = {.job = job_id{"j"}}};
    const task_name second{.step = {.job = job_id{"j"}}, .index = 1};
    report.runs.push_back({.task = second, .run = run_number{1}});
    report.ends.push_back(
        {.sequence = 1, .task = first, .run = run_number{1}, .outcome = run_outcome::done});
    fixture.submit(job_of("other", 1, 8));
    fixture.run_pass();
    fixture.run_pass();
    CHECK(fixture.subject.orders_for(report).ends_stored == 0);
    REQUIRE(fixture.run_count("h1") == 1);
    fixture.subject.add_job({.spec = spec, .progress = progress, .cancelled = false}, fixture.now);
    fixture.run_pass();
    fixture.run_pass();
    CHECK(fixture.subject.orders_for(report).ends_stored == 1);
    CHECK(fixture.run_count("h1", "j") == 1);
    fixture.end_all("h1", run_outcome::done);
    fixture.run_pass();
    fixture.run_pass();
    CHECK(fixture.run_count("h1", "other") == 1);
    CHECK(fixture.subject.open_jobs() == 1);
}
