#include "baobabrack/workload/scheduler.hpp"

#include <catch2/catch.hpp>

#include "workload/workload_world.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

/// A scheduler whose decisions are stored at once, with workers that report by hand.
class rig {
public:
    explicit rig(scheduler::options opts = {}) : core(opts) {
        config.workspaces.push_back(
            {.id = workspace_id{"workspace"}, .keys = {}, .guaranteed = accelerator_count{8}});
        core.load({}, now, now);
    }

    scheduler core;
    directory config;
    time_point now{100s};
    wall_time wall{1'000'000s};
    std::map<std::string, worker_report> reports;

    void worker(const std::string& host, const std::string& rack = "r1") {
        worker_report report;
        report.facts.life = {
            .host = host_id{host}, .worker = worker_id{"w-" + host}, .version = incarnation{1}};
        report.facts.service = service_id{"service"};
        report.facts.rack = rack_id{rack};
        report.facts.capacity = {.cpu = cpu_millicores{64'000},
                                 .memory = memory_mib{64'000},
                                 .accelerators = accelerator_count{8}};
        report.lists_known = true;
        reports[host] = report;
    }

    void submit(job_spec spec) {
        spec.submitted = wall;
        core.add({.spec = spec, .progress = {}, .cancelled = false}, now);
    }

    /// Takes every report, decides, stores, and begins what was ordered.
    void turn() {
        for (auto& [host, report] : reports) {
            core.take(report, now);
        }
        core.decide(&config, now, wall);
        core.stored(core.take_batch(true));
        for (auto& [host, report] : reports) {
            const auto orders = core.orders_for(report);
            for (const auto& start : orders.starts) {
                report.runs.push_back({.task = start.task, .run = start.run, .percent = 1});
            }
            for (const auto& stop : orders.stops) {
                end(host, stop.task, stop.run, end_kind::stopped);
            }
        }
        now += 100ms;
        wall += 100ms;
    }

    void end(const std::string& host, const task_name& task, run_number run, end_kind how) {
        auto& report = reports[host];
        std::erase_if(report.runs, [&](const auto& one) { return one.task == task; });
        report.ends.push_back(
            {.number = report.ends.size() + 1, .task = task, .run = run, .how = how});
    }

    /// Ends every run of a host.
    void end_all(const std::string& host, end_kind how) {
        const auto runs = reports[host].runs;
        for (const auto& run : runs) {
            end(host, run.task, run.run, how);
        }
    }

    std::size_t running(const std::string& host) { return reports[host].runs.size(); }
    std::size_t running(const std::string& host, const std::string& job) {
        const auto& runs = reports[host].runs;
        return static_cast<std::size_t>(
            std::count_if(runs.begin(), runs.end(),
                          [&](const run_report& run) { return run.task.step.job == job_id{job}; }));
    }
};

job_spec urgent(const std::string& id, std::uint32_t tasks, std::uint32_t accelerators) {
    auto job = job_of(id, tasks, accelerators);
    job.priority = 0;
    return job;
}

}  // namespace

TEST_CASE("Orders speak only of runs whose assignment is stored", "[scheduler]") {
    rig world;
    world.worker("h1");
    world.submit(job_of("j", 1, 1));
    world.core.take(world.reports["h1"], world.now);
    world.core.decide(&world.config, world.now, world.wall);
    CHECK(world.core.orders_for(world.reports["h1"]).starts.empty());
    world.core.stored(world.core.take_batch(false));
    CHECK(world.core.orders_for(world.reports["h1"]).starts.size() == 1);
}

TEST_CASE("Ends are acknowledged once they are stored", "[scheduler]") {
    rig world;
    world.worker("h1");
    world.submit(job_of("j", 1, 1));
    world.turn();
    world.end_all("h1", end_kind::done);
    world.core.take(world.reports["h1"], world.now);
    world.core.decide(&world.config, world.now, world.wall);
    CHECK(world.core.orders_for(world.reports["h1"]).ends_stored == 0);
    world.core.stored(world.core.take_batch(false));
    CHECK(world.core.orders_for(world.reports["h1"]).ends_stored == 1);
}

TEST_CASE("What is being stopped still takes room", "[scheduler]") {
    rig world;
    world.worker("h1");
    world.submit(job_of("first", 1, 8));
    world.turn();
    world.core.cancel(job_id{"first"});
    world.submit(job_of("second", 1, 8));
    world.core.decide(&world.config, world.now, world.wall);
    world.core.stored(world.core.take_batch(false));
    const auto orders = world.core.orders_for(world.reports["h1"]);
    CHECK(orders.stops.size() == 1);
    CHECK(orders.starts.empty());
}

TEST_CASE("A job whose task has failed as often as its queue allows has failed", "[scheduler]") {
    rig world;
    world.worker("h1");
    auto job = job_of("j", 1, 1);
    job.most_attempts = 2;
    world.submit(job);
    for (int attempt = 0; attempt < 2; ++attempt) {
        world.turn();
        REQUIRE(world.running("h1") == 1);
        world.end_all("h1", end_kind::failed);
    }
    world.turn();
    world.now += 10s;
    world.turn();
    CHECK(world.running("h1") == 0);
    CHECK(world.core.open_jobs() == 0);
}

TEST_CASE("Nothing of a job begins once it has failed", "[scheduler]") {
    rig world;
    world.worker("h1");
    world.worker("h2");
    auto job = job_of("j", 4, 8);
    job.most_attempts = 1;
    world.submit(job);
    world.turn();
    REQUIRE(world.running("h1") + world.running("h2") == 2);
    const auto started = world.core.counts().started;
    world.end_all("h1", end_kind::failed);
    for (int turn = 0; turn < 5; ++turn) {
        world.turn();
    }
    CHECK(world.core.counts().started == started);
    CHECK(world.core.open_jobs() == 0);
}

TEST_CASE("A gang that loses a run stops the others before it runs again", "[scheduler]") {
    rig world;
    world.worker("h1");
    world.worker("h2");
    world.submit(job_of("j", 2, 8, true));
    for (int turn = 0; turn < 10; ++turn) {
        world.turn();
    }
    REQUIRE(world.running("h1") + world.running("h2") == 2);
    world.end_all("h1", end_kind::failed);
    world.turn();
    CHECK(world.running("h1") == 0);
    CHECK(world.running("h2") == 0);
    world.turn();
    world.turn();
    CHECK(world.running("h1") + world.running("h2") == 2);
}

// The load: one of the workers of a gang is slow to list its end.
TEST_CASE("One end of a gang completes its step, and the others still hold their room",
          "[scheduler]") {
    rig world;
    world.worker("h1");
    world.worker("h2");
    world.submit(job_of("gang", 2, 8, true));
    world.turn();
    REQUIRE(world.running("h1", "gang") == 1);
    world.end_all("h1", end_kind::done);
    world.core.take(world.reports["h1"], world.now);
    world.core.decide(&world.config, world.now, world.wall);
    const auto batch = world.core.take_batch(false);
    REQUIRE(batch.changes.size() == 1);
    CHECK(batch.changes[0].progress.phase == job_phase::completed);
    world.core.stored(batch);
    CHECK(world.core.open_jobs() == 1);
    world.submit(job_of("next", 2, 8));
    world.turn();
    CHECK(world.running("h1", "next") == 1);
    CHECK(world.running("h2", "next") == 0);
    world.end_all("h2", end_kind::done);
    world.turn();
    world.turn();
    CHECK(world.running("h2", "next") == 1);
    CHECK(world.core.open_jobs() == 1);
}

// The load: an urgent job within its workspace's guarantee arrives while lower work fills all.
TEST_CASE("A guaranteed job gets its room back at once", "[scheduler]") {
    rig world;
    world.worker("h1");
    auto low = job_of("low", 8, 1);
    low.steps.front().estimated = 20s;
    world.submit(low);
    world.turn();
    REQUIRE(world.running("h1", "low") == 8);
    world.submit(urgent("high", 1, 8));
    world.turn();
    world.turn();
    CHECK(world.running("h1", "high") == 1);
}

// The load: an urgent job of several tasks, each of which needs a whole host.
TEST_CASE("Each task of an urgent step gets room in the same turn", "[scheduler]") {
    rig world;
    world.config.workspaces.front().guaranteed = accelerator_count{32};
    for (const auto* host : {"h1", "h2", "h3"}) {
        world.worker(host);
    }
    auto low = job_of("low", 24, 1);
    low.steps.front().estimated = 20s;
    world.submit(low);
    world.turn();
    world.submit(urgent("high", 3, 8));
    world.turn();
    world.turn();
    CHECK(world.running("h1", "high") + world.running("h2", "high") + world.running("h3", "high") ==
          3);
}

// The load: urgent jobs come one after the other and always stop what began last.
TEST_CASE("A task that has made room before is spared when another can", "[scheduler]") {
    rig world;
    world.config.workspaces.front().guaranteed = accelerator_count{64};
    world.worker("h1");
    world.worker("h2");
    for (const auto* id : {"a", "b"}) {
        auto job = job_of(id, 1, 8);
        job.steps.front().estimated = 20s;
        world.submit(job);
        world.turn();
    }
    for (int turn = 0; turn < 3; ++turn) {
        world.turn();
    }
    // Of the two, b began last and is stopped.
    world.submit(urgent("first", 1, 8));
    world.turn();
    world.turn();
    const auto b_host = world.running("h1", "first") == 1 ? "h1" : "h2";
    REQUIRE(world.running(b_host, "b") == 0);
    world.end_all(b_host, end_kind::done);
    world.turn();
    world.turn();
    REQUIRE(world.running(b_host, "b") == 1);
    world.submit(urgent("second", 1, 8));
    world.turn();
    world.turn();
    CHECK(world.running(b_host, "b") == 1);
}

// The load: a job outside its workspace's guarantee comes upon work that is nearly done.
TEST_CASE("Room beyond a guarantee throws away no more work than the job does", "[scheduler]") {
    rig world;
    world.config.workspaces.front().guaranteed = accelerator_count{0};
    world.worker("h1");
    world.submit(job_of("low", 1, 8));
    world.turn();
    auto short_job = urgent("high", 1, 8);
    short_job.steps.front().estimated = 100ms;
    for (int turn = 0; turn < 5; ++turn) {
        world.reports["h1"].runs.front().percent += 10;
        world.turn();
    }
    world.submit(short_job);
    world.turn();
    CHECK(world.running("h1", "low") == 1);
}

// The load: the rack of the data is busy for a while, and elsewhere the run takes three times as
// long.
TEST_CASE("A task waits for the rack of its data when it ends sooner so", "[scheduler]") {
    rig world;
    world.worker("near", "r1");
    world.worker("far", "r2");
    world.reports["far"].facts.draining = true;
    world.submit(job_of("busy", 1, 8));
    world.turn();
    REQUIRE(world.running("near") == 1);
    world.reports["far"].facts.draining = false;
    auto job = job_of("j", 1, 8);
    job.steps.front().data_rack = rack_id{"r1"};
    world.submit(job);
    world.turn();
    CHECK(world.running("far") == 0);
    world.end_all("near", end_kind::done);
    world.turn();
    CHECK(world.running("near", "j") == 1);
}

// The load: one worker turns slow under its runs while another is idle.
TEST_CASE("A run that becomes slow is moved once", "[scheduler]") {
    rig world;
    world.worker("h1");
    auto job = job_of("j", 1, 8);
    job.steps.front().estimated = 20s;
    world.submit(job);
    world.turn();
    REQUIRE(world.running("h1") == 1);
    world.worker("h2");
    for (int turn = 0; turn < 20; ++turn) {
        ++world.reports["h1"].runs.front().percent;
        world.turn();
    }
    REQUIRE(world.running("h1") == 1);
    for (int turn = 0; turn < 100 && world.running("h1") > 0; ++turn) {
        if (turn % 10 == 9) {
            ++world.reports["h1"].runs.front().percent;
        }
        world.turn();
    }
    world.turn();
    CHECK(world.running("h2", "j") == 1);
}

// The load: a queue's estimates are a tenth of the true run times, while every worker is sound.
TEST_CASE("A run that takes far longer than its estimate stays where it is", "[scheduler]") {
    rig world;
    world.worker("h1");
    world.worker("h2");
    auto job = job_of("j", 1, 8);
    job.steps.front().estimated = 2s;
    world.submit(job);
    world.turn();
    const auto* host = world.running("h1") == 1 ? "h1" : "h2";
    for (int turn = 0; turn < 180; ++turn) {
        world.reports[host].runs.front().percent = 1 + static_cast<std::uint32_t>(turn) / 2;
        world.turn();
        REQUIRE(world.running(host) == 1);
    }
}

// The load: tasks of one step run on many workers, one of which has been slow since before.
TEST_CASE("A run that is much slower than its siblings is moved", "[scheduler]") {
    rig world;
    for (const auto* host : {"h1", "h2", "h3", "h4"}) {
        world.worker(host);
    }
    auto job = job_of("j", 4, 8);
    job.steps.front().estimated = 20s;
    world.submit(job);
    world.turn();
    REQUIRE(world.running("h4") == 1);
    world.worker("h5");
    for (std::uint32_t turn = 0; turn < 60 && world.running("h4") > 0; ++turn) {
        for (const auto* host : {"h1", "h2", "h3"}) {
            world.reports[host].runs.front().percent = 1 + turn;
        }
        world.reports["h4"].runs.front().percent = 1 + turn / 8;
        world.turn();
    }
    world.turn();
    CHECK(world.running("h5", "j") == 1);
}

// The load: answers of a worker get lost, so that its guard tells the same lists several times.
TEST_CASE("A run whose worker's lists are old is not taken for slow", "[scheduler]") {
    rig world;
    world.worker("h1");
    world.worker("h2");
    auto job = job_of("j", 1, 8);
    job.steps.front().estimated = 10s;
    world.submit(job);
    world.turn();
    const auto* host = world.running("h1") == 1 ? "h1" : "h2";
    for (std::uint32_t turn = 0; turn < 90; ++turn) {
        auto& report = world.reports[host];
        const bool fresh = turn % 11 == 0;
        report.lists_age = fresh ? 0ms : report.lists_age + 100ms;
        if (fresh) {
            report.runs.front().percent = 1 + turn;
        }
        world.turn();
        REQUIRE(world.running(host) == 1);
    }
}

// The load: a worker fails whatever it starts at once; the others are full, so that it alone has
// room.
TEST_CASE("A run that failed at once is not started again at the same place", "[scheduler]") {
    rig world;
    world.worker("h1");
    world.worker("h2");
    world.submit(job_of("long", 1, 8));
    world.turn();
    const std::string busy = world.running("h1") == 1 ? "h1" : "h2";
    const std::string failing = busy == "h1" ? "h2" : "h1";
    world.submit(job_of("j", 1, 8));
    world.turn();
    REQUIRE(world.running(failing, "j") == 1);
    world.end_all(failing, end_kind::failed);
    for (int turn = 0; turn < 20; ++turn) {
        world.turn();
        REQUIRE(world.running(failing, "j") == 0);
    }
    world.end_all(busy, end_kind::done);
    world.turn();
    world.turn();
    CHECK(world.running(busy, "j") == 1);
}

// The load: one of the many workers of a gang stands still and holds up the others.
TEST_CASE("Workers of a gang that stands still are not all given up", "[scheduler]") {
    rig world;
    world.worker("h1");
    world.worker("h2");
    auto gang = job_of("gang", 2, 8, true);
    world.submit(gang);
    world.turn();
    REQUIRE(world.running("h1", "gang") == 1);
    for (int turn = 0; turn < 60 && world.core.counts().started < 4; ++turn) {
        world.turn();
    }
    CHECK(world.core.counts().started == 4);
}

// The load: an urgent job comes just before enough work ends by itself.
TEST_CASE("Nothing is stopped for an urgent job that is in time without it", "[scheduler]") {
    rig world;
    world.config.workspaces.front().guaranteed = accelerator_count{0};
    world.worker("h1");
    auto low = job_of("low", 1, 8);
    low.steps.front().estimated = 2s;
    world.submit(low);
    for (std::uint32_t turn = 0; turn < 16; ++turn) {
        world.turn();
        world.reports["h1"].runs.front().percent = 5 * (turn + 1);
    }
    auto job = urgent("high", 1, 8);
    job.steps.front().estimated = 4s;
    job.slack_factor = 1.5;
    world.submit(job);
    world.turn();
    world.turn();
    CHECK(world.core.counts().preempted == 0);
    CHECK(world.running("h1", "low") == 1);
}

TEST_CASE("A run that stands still is stopped and runs elsewhere", "[scheduler]") {
    rig world;
    world.worker("h1");
    world.submit(job_of("j", 1, 8));
    world.turn();
    world.worker("h2");
    for (int turn = 0; turn < 30; ++turn) {
        world.turn();
    }
    CHECK(world.running("h2", "j") == 1);
}

// The load: a restarted guard hears an announcement that was sent before its worker's last crash.
TEST_CASE("Runs are not given up for a life of the worker that has not answered", "[scheduler]") {
    rig world;
    world.worker("h1");
    world.submit(job_of("j", 1, 8));
    world.turn();
    REQUIRE(world.running("h1", "j") == 1);
    auto other = world.reports["h1"];
    other.facts.life.version = incarnation{9};
    other.runs.clear();
    other.lists_known = false;
    world.core.take(other, world.now);
    CHECK(world.core.counts().lost == 0);
    other.lists_known = true;
    world.core.take(other, world.now);
    CHECK(world.core.counts().lost == 1);
}

TEST_CASE("An occurrence does not begin before it is due", "[scheduler]") {
    rig world;
    world.worker("h1");
    auto job = job_of("j", 1, 1);
    job.occurrences = 2;
    job.first_due = world.wall + 1s;
    job.interval = 1s;
    world.submit(job);
    for (int turn = 0; turn < 10; ++turn) {
        world.turn();
        CHECK(world.running("h1") == 0);
    }
    world.turn();
    world.turn();
    CHECK(world.running("h1") == 1);
}

TEST_CASE("Without a configuration that is known to be new nothing starts", "[scheduler]") {
    rig world;
    world.worker("h1");
    world.submit(job_of("j", 1, 1));
    world.core.take(world.reports["h1"], world.now);
    world.core.decide(nullptr, world.now, world.wall);
    CHECK(world.core.take_batch(false).changes.empty());
}

TEST_CASE("A draining worker and one with runs that nobody wants get nothing", "[scheduler]") {
    rig world;
    world.worker("h1");
    world.submit(job_of("j", 1, 1));
    SECTION("draining") {
        world.reports["h1"].facts.draining = true;
        world.turn();
        CHECK(world.running("h1") == 0);
    }
    SECTION("strays are stopped first") {
        world.reports["h1"].runs.push_back(
            {.task = {.step = {.job = job_id{"stray"}}}, .run = run_number{1}});
        world.turn();
        CHECK(world.running("h1", "j") == 0);
        world.turn();
        world.turn();
        CHECK(world.running("h1", "j") == 1);
    }
}
