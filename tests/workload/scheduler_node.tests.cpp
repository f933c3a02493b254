#include <catch2/catch.hpp>

#include "workload/simulated_cluster.hpp"

using namespace baobabrack;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

TEST_CASE("A job is stored, run and reported as completed", "[workload]") {
    simulated_cluster cluster(1, {});
    REQUIRE(cluster.run_until([&] { return cluster.leader() != nullptr; }, 2s));
    cluster.run_for(1500ms);
    REQUIRE(cluster.submit(job_of("j", 3, 2)));
    CHECK(cluster.run_until([&] { return cluster.completed("j"); }, 3s));
    CHECK(cluster.runs_started == 3);
    CHECK(cluster.violations.empty());
}

TEST_CASE("Steps run in dependency order, and the tasks of a gang start together", "[workload]") {
    simulated_cluster cluster(2, {});
    cluster.run_for(2s);
    auto job = job_of("j", 2, 1);
    auto second = job.steps.front();
    second.tasks = 4;
    second.gang = true;
    second.after = {0};
    job.steps.push_back(second);
    REQUIRE(cluster.submit(job));
    REQUIRE(cluster.run_until([&] { return cluster.completed("j"); }, 5s));
    time_point first_step_end{};
    for (const auto& [task, started] : cluster.first_start) {
        if (task.step.step == 0) {
            first_step_end = std::max(first_step_end, started + 900ms);
        }
    }
    time_point earliest = time_point::max();
    time_point latest{};
    for (const auto& [task, started] : cluster.first_start) {
        if (task.step.step == 1) {
            CHECK(started >= first_step_end);
            earliest = std::min(earliest, started);
            latest = std::max(latest, started);
        }
    }
    CHECK(latest - earliest < 100ms);
    CHECK(cluster.violations.empty());
}

// Guards against lost work that is accounted for but not exported, or exported under another cause.
TEST_CASE("Lost work is exported as a counter by cause", "[workload][lost-work]") {
    simulated_cluster cluster(3, {.run_time = 20s});
    cluster.run_for(2s);
    const auto exported = [&](const std::string& cause) {
        return cluster.metrics(cluster.leader_index())
            .get_counter("baobabrack_lost_work_seconds_total", "", {{"cause", cause}})
            .value();
    };
    REQUIRE(cluster.submit(job_of("j", 2, 4)));
    cluster.run_for(3s);
    CHECK(exported("cancelled") == 0);
    REQUIRE(cluster.cancel("j"));
    cluster.run_for(3s);
    REQUIRE(cluster.phase("j") == workload::job_phase::cancelled);
    // Two runs of 33 cores; how long they are listed depends on when the worker is asked.
    constexpr std::uint64_t cores = 66;
    CHECK(exported("cancelled") > cores * 2);
    CHECK(exported("cancelled") < cores * 5);
    CHECK(exported("preempted") == 0);
}

TEST_CASE("A cancelled job stops and does not start again", "[workload]") {
    simulated_cluster cluster(3, {.run_time = 20s});
    cluster.run_for(2s);
    REQUIRE(cluster.submit(job_of("j", 2, 4)));
    cluster.run_for(1s);
    CHECK(cluster.runs_started == 2);
    REQUIRE(cluster.cancel("j"));
    CHECK(cluster.run_until(
        [&] { return cluster.worker(0).running() + cluster.worker(1).running() == 0; }, 1s));
    cluster.run_for(1s);
    CHECK(cluster.phase("j") == workload::job_phase::cancelled);
    CHECK(cluster.runs_started == 2);
}

TEST_CASE("Another scheduler becomes leader within 1.5 seconds after the leader fails",
          "[workload]") {
    simulated_cluster cluster(4, {});
    cluster.run_for(2s);
    const auto failed = cluster.leader_index();
    cluster.kill_scheduler(failed);
    CHECK(cluster.run_until([&] { return cluster.leader() != nullptr; }, 1500ms));
    REQUIRE(cluster.submit(job_of("j", 2, 1)));
    CHECK(cluster.run_until([&] { return cluster.completed("j"); }, 3s));
    CHECK(cluster.violations.empty());
}

TEST_CASE("A leader can resign while an append is in progress", "[workload]") {
    simulated_cluster cluster(5, {.run_time = 5s});
    cluster.run_for(2s);
    auto* leader = cluster.leader();
    REQUIRE(leader != nullptr);
    // The first decision about a job starts an append.
    leader->submit(job_of("early", 8, 1), 2s, [](auto) {});
    cluster.run_until([&] { return cluster.runs_started > 0; }, 1s);
    leader->submit(job_of("late", 8, 1), 2s, [](auto) {});
    cluster.run_for(6ms);
    leader->resign();
    CHECK(cluster.run_until(
        [&] { return cluster.leader() != nullptr && cluster.leader() != leader; }, 600ms));
    CHECK_FALSE(leader->is_leader());
}

TEST_CASE("Another scheduler takes over from a leader that the store refuses", "[workload]") {
    simulated_cluster cluster(6, {});
    cluster.run_for(2s);
    const auto refused = cluster.leader_index();
    cluster.store_link(refused).active_faults.refuses = true;
    const auto other_leads = [&] {
        for (unsigned index = 0; index < 3; ++index) {
            if (index != refused && cluster.scheduler(index)->is_leader()) {
                return true;
            }
        }
        return false;
    };
    CHECK(cluster.run_until(other_leads, 2s));

    SECTION("submissions to the refused scheduler are stored through another") {
        CHECK(cluster.submit_at(refused, job_of("j", 1, 1)));
        CHECK(cluster.run_until([&] { return cluster.runs_started == 1; }, 3s));
        CHECK(cluster.violations.empty());
    }
}

// Guards whose seeds are outdated would find a new leader too late for urgent jobs that keep
// arriving while the old leader fails.
TEST_CASE("A new leader announces itself to the guards", "[workload]") {
    simulated_cluster cluster(11, {});
    cluster.run_for(2s);
    const auto failed = cluster.leader_index();
    cluster.set_guard_seeds(failed);
    cluster.kill_scheduler(failed);
    REQUIRE(cluster.run_until([&] { return cluster.leader() != nullptr; }, 3s));
    const auto elected = cluster.loop.now();
    REQUIRE(cluster.submit_at((failed + 1) % 3, job_of("j", 1, 1)));
    REQUIRE(cluster.run_until([&] { return cluster.runs_started == 1; }, 3s));
    CHECK(cluster.loop.now() - elected < 600ms);
}

TEST_CASE(
    "Submissions are refused immediately and with certainty while no scheduler reaches the store",
    "[workload]") {
    simulated_cluster cluster(7, {});
    cluster.run_for(2s);
    for (unsigned index = 0; index < 3; ++index) {
        cluster.store_link(index).active_faults.refuses = true;
    }
    cluster.run_for(1s);
    const auto submitted = cluster.loop.now();
    std::optional<workload::intake_writer::receipt> receipt;
    cluster.scheduler(0)->submit(job_of("j", 1, 1), 2500ms,
                                 [&](auto outcome) { receipt = outcome; });
    REQUIRE(cluster.run_until([&] { return receipt.has_value(); }, 3s));
    CHECK(receipt == workload::intake_writer::receipt::not_stored);
    CHECK(cluster.loop.now() - submitted < 300ms);
    for (unsigned index = 0; index < 3; ++index) {
        cluster.store_link(index).active_faults.refuses = false;
    }
    cluster.run_for(5s);
    CHECK(cluster.runs_started == 0);
    CHECK_FALSE(cluster.phase("j").has_value());
}

TEST_CASE("Stored jobs continue after all processes were killed at once", "[workload]") {
    simulated_cluster cluster(8, {});
    cluster.run_for(2s);
    REQUIRE(cluster.submit(job_of("j", 4, 2)));
    cluster.run_for(300ms);
    cluster.store.expire_history();
    for (unsigned index = 0; index < 3; ++index) {
        cluster.kill_scheduler(index);
    }
    for (unsigned index = 0; index < 4; ++index) {
        cluster.kill_guard(index);
    }
    cluster.run_for(500ms);
    for (unsigned index = 0; index < 3; ++index) {
        cluster.start_scheduler(index);
    }
    for (unsigned index = 0; index < 4; ++index) {
        cluster.start_guard(index);
    }
    CHECK(cluster.run_until([&] { return cluster.completed("j"); }, 20s));
    CHECK(cluster.violations.empty());
}

TEST_CASE("Tasks of a worker that crashes and restarts run again", "[workload]") {
    simulated_cluster cluster(9, {.run_time = 2s});
    cluster.run_for(2s);
    REQUIRE(cluster.submit(job_of("j", 1, 8)));
    REQUIRE(cluster.run_until([&] { return cluster.runs_started == 1; }, 1s));
    const auto host = cluster.busy_host();
    cluster.crash_worker(host);
    CHECK(cluster.run_until([&] { return cluster.completed("j"); }, 8s));
    CHECK(cluster.runs_started == 2);
    CHECK(cluster.violations.empty());
}

// A guard that has just started took the ends that its worker did not list for runs that were never
// started.
TEST_CASE(
    "Ends beyond those that a worker lists at a time do not run again after its guard restarts",
    "[workload]") {
    const auto delay = GENERATE(850ms, 880ms, 895ms);
    INFO("the guard is killed " << delay.count() << " ms after the start");
    simulated_cluster cluster(1, {.hosts = 2, .max_listed_ends = 3});
    cluster.run_for(2s);
    REQUIRE(cluster.submit(job_of("j1", 8, 1)));
    REQUIRE(cluster.run_until([&] { return cluster.runs_started == 8; }, 2s));
    const auto host = cluster.busy_host();
    REQUIRE(cluster.worker(host).running() == 8);
    cluster.run_for(delay);
    cluster.kill_guard(host);
    cluster.run_for(800ms);
    cluster.start_guard(host);
    CHECK(cluster.run_until([&] { return cluster.completed("j1"); }, 10s));
    CHECK(cluster.runs_started == 8);
    CHECK(cluster.violations.empty());
}

TEST_CASE("Tasks of a silent worker run again after its lease has expired", "[workload]") {
    simulated_cluster cluster(10, {.run_time = 12s});
    // A guard that has just started does not know the lease that its predecessor granted.
    cluster.run_for(12s);
    REQUIRE(cluster.submit(job_of("j", 1, 8)));
    REQUIRE(cluster.run_until([&] { return cluster.runs_started == 1; }, 1s));
    const auto host = cluster.busy_host();
    // The worker's guard continues to report.
    cluster.worker(host).active_faults.silent = true;
    CHECK(cluster.run_until([&] { return cluster.runs_started == 2; }, 9s));
    CHECK(cluster.violations.empty());
}

TEST_CASE("An ended job is deleted after the retention time and does not run again", "[workload]") {
    simulated_cluster cluster(14, {});
    cluster.run_for(2s);
    REQUIRE(cluster.submit(job_of("j", 2, 1)));
    REQUIRE(cluster.run_until([&] { return cluster.completed("j"); }, 4s));
    cluster.run_for(100s);
    CHECK(cluster.completed("j"));
    cluster.run_for(40s);
    CHECK_FALSE(cluster.phase("j").has_value());
    const auto is_of_job = [](const keyed_entry& entry) {
        return entry.record.key.ends_with("/j");
    };
    for (const auto* topic : {"keyed.baobabrack-jobs", "keyed.baobabrack-progress"}) {
        const auto page = cluster.store.newest(topic_id{topic});
        CHECK(std::none_of(page.entries.begin(), page.entries.end(), is_of_job));
    }
    cluster.kill_scheduler(cluster.leader_index());
    cluster.run_for(10s);
    CHECK(cluster.runs_started == 2);
}

TEST_CASE("A submission that may have been stored is never reported as refused", "[workload]") {
    simulated_cluster cluster(11, {.schedulers = 1});
    cluster.run_for(2s);
    cluster.store_link(0).active_faults.lost_answers = 1;
    std::optional<workload::intake_writer::receipt> receipt;
    cluster.scheduler(0)->submit(job_of("j", 1, 1), 2500ms,
                                 [&](auto outcome) { receipt = outcome; });
    REQUIRE(cluster.run_until([&] { return receipt.has_value(); }, 4s));
    CHECK(receipt == workload::intake_writer::receipt::unknown);
}

TEST_CASE("A leader that cannot reach the store stops extending leases", "[workload]") {
    simulated_cluster cluster(12, {.run_time = 60s});
    cluster.run_for(12s);
    REQUIRE(cluster.submit(job_of("j", 1, 8)));
    REQUIRE(cluster.run_until([&] { return cluster.runs_started == 1; }, 1s));
    const auto host = cluster.busy_host();
    const auto old_leader = cluster.leader_index();
    // The guard can reach only the old leader while another scheduler takes over.
    for (unsigned index = 0; index < 3; ++index) {
        if (index != old_leader) {
            cluster.disconnect("s" + std::to_string(index), "h" + std::to_string(host));
        }
    }
    cluster.store_link(old_leader).active_faults.silent = true;
    CHECK(cluster.run_until([&] { return cluster.runs_started == 2; }, 15s));
    CHECK(cluster.violations.empty());
}

TEST_CASE(
    "The lease of a silent worker is not extended before the leader knows that it answers again",
    "[workload]") {
    simulated_cluster cluster(13, {.run_time = 60s});
    cluster.run_for(12s);
    REQUIRE(cluster.submit(job_of("j", 1, 8)));
    REQUIRE(cluster.run_until([&] { return cluster.runs_started == 1; }, 1s));
    const auto host = cluster.busy_host();
    cluster.worker(host).active_faults.silent = true;
    cluster.run_for(3500ms);
    for (unsigned index = 0; index < 3; ++index) {
        cluster.disconnect("s" + std::to_string(index), "h" + std::to_string(host));
    }
    cluster.run_for(100ms);
    cluster.worker(host).active_faults.silent = false;
    CHECK(cluster.run_until([&] { return cluster.runs_started == 2; }, 12s));
    CHECK(cluster.violations.empty());
}
