#include <catch2/catch.hpp>

#include "workload/simulated_cluster.hpp"

using namespace baobabrack;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

TEST_CASE("A job is stored, run and shown as completed", "[workload]") {
    simulated_cluster world(1, {});
    REQUIRE(world.run_until([&] { return world.leader() != nullptr; }, 2s));
    world.run_for(1500ms);
    REQUIRE(world.submit(job_of("j", 3, 2)));
    CHECK(world.run_until([&] { return world.completed("j"); }, 3s));
    CHECK(world.runs_started == 3);
    CHECK(world.violations.empty());
}

TEST_CASE("Steps run in their order, and a gang together", "[workload]") {
    simulated_cluster world(2, {});
    world.run_for(2s);
    auto job = job_of("j", 2, 1);
    auto second = job.steps.front();
    second.tasks = 4;
    second.gang = true;
    second.after = {0};
    job.steps.push_back(second);
    REQUIRE(world.submit(job));
    REQUIRE(world.run_until([&] { return world.completed("j"); }, 5s));
    time_point first_end{};
    for (const auto& [task, began] : world.first_begin) {
        if (task.step.step == 0) {
            first_end = std::max(first_end, began + 900ms);
        }
    }
    time_point earliest = time_point::max();
    time_point latest{};
    for (const auto& [task, began] : world.first_begin) {
        if (task.step.step == 1) {
            CHECK(began >= first_end);
            earliest = std::min(earliest, began);
            latest = std::max(latest, began);
        }
    }
    CHECK(latest - earliest < 100ms);
    CHECK(world.violations.empty());
}

TEST_CASE("A cancelled job stops and stays so", "[workload]") {
    simulated_cluster world(3, {.run_time = 20s});
    world.run_for(2s);
    REQUIRE(world.submit(job_of("j", 2, 4)));
    world.run_for(1s);
    CHECK(world.runs_started == 2);
    REQUIRE(world.cancel("j"));
    CHECK(world.run_until(
        [&] { return world.worker(0).running() + world.worker(1).running() == 0; }, 1s));
    world.run_for(1s);
    CHECK(world.phase("j") == workload::job_phase::cancelled);
    CHECK(world.runs_started == 2);
}

TEST_CASE("Another scheduler leads within a second and a half of a leader's death", "[workload]") {
    simulated_cluster world(4, {});
    world.run_for(2s);
    const auto dead = world.leader_index();
    world.kill_scheduler(dead);
    CHECK(world.run_until([&] { return world.leader() != nullptr; }, 1500ms));
    REQUIRE(world.submit(job_of("j", 2, 1)));
    CHECK(world.run_until([&] { return world.completed("j"); }, 3s));
    CHECK(world.violations.empty());
}

TEST_CASE("A leader that is told to stop hands over although an append is under way",
          "[workload]") {
    simulated_cluster world(5, {.run_time = 5s});
    world.run_for(2s);
    auto* leader = world.leader();
    REQUIRE(leader != nullptr);
    // An append begins with the first decision about a job.
    leader->submit(job_of("early", 8, 1), 2s, [](auto) {});
    world.run_until([&] { return world.runs_started > 0; }, 1s);
    leader->submit(job_of("late", 8, 1), 2s, [](auto) {});
    world.run_for(6ms);
    leader->resign();
    CHECK(world.run_until([&] { return world.leader() != nullptr && world.leader() != leader; },
                          600ms));
    CHECK_FALSE(leader->is_leader());
}

TEST_CASE("The others take the lead from a scheduler that the store refuses", "[workload]") {
    simulated_cluster world(6, {});
    world.run_for(2s);
    const auto refused = world.leader_index();
    world.store_link(refused).now.refuses = true;
    const auto other_leads = [&] {
        for (unsigned at = 0; at < 3; ++at) {
            if (at != refused && world.scheduler(at)->is_leader()) {
                return true;
            }
        }
        return false;
    };
    CHECK(world.run_until(other_leads, 2s));

    SECTION("and submissions there are stored by way of another") {
        CHECK(world.submit_at(refused, job_of("j", 1, 1)));
        CHECK(world.run_until([&] { return world.runs_started == 1; }, 3s));
        CHECK(world.violations.empty());
    }
}

// The load: urgent jobs come all the time while the leader dies, and the guards' seeds are stale.
TEST_CASE("Guards learn of a new leader from itself", "[workload]") {
    simulated_cluster world(11, {});
    world.run_for(2s);
    const auto dead = world.leader_index();
    world.set_guard_seeds(dead);
    world.kill_scheduler(dead);
    REQUIRE(world.run_until([&] { return world.leader() != nullptr; }, 3s));
    const auto taken = world.loop.now();
    REQUIRE(world.submit_at((dead + 1) % 3, job_of("j", 1, 1)));
    REQUIRE(world.run_until([&] { return world.runs_started == 1; }, 3s));
    CHECK(world.loop.now() - taken < 600ms);
}

TEST_CASE("While nobody reaches the store, submissions are refused at once and for certain",
          "[workload]") {
    simulated_cluster world(7, {});
    world.run_for(2s);
    for (unsigned at = 0; at < 3; ++at) {
        world.store_link(at).now.refuses = true;
    }
    world.run_for(1s);
    const auto before = world.loop.now();
    std::optional<workload::intake_writer::receipt> receipt;
    world.scheduler(0)->submit(job_of("j", 1, 1), 2500ms, [&](auto got) { receipt = got; });
    REQUIRE(world.run_until([&] { return receipt.has_value(); }, 3s));
    CHECK(receipt == workload::intake_writer::receipt::not_stored);
    CHECK(world.loop.now() - before < 300ms);
    for (unsigned at = 0; at < 3; ++at) {
        world.store_link(at).now.refuses = false;
    }
    world.run_for(5s);
    CHECK(world.runs_started == 0);
    CHECK_FALSE(world.phase("j").has_value());
}

TEST_CASE("After every process was killed at once, stored jobs go on", "[workload]") {
    simulated_cluster world(8, {});
    world.run_for(2s);
    REQUIRE(world.submit(job_of("j", 4, 2)));
    world.run_for(300ms);
    world.store.forget_history();
    for (unsigned at = 0; at < 3; ++at) {
        world.kill_scheduler(at);
    }
    for (unsigned at = 0; at < 4; ++at) {
        world.kill_guard(at);
    }
    world.run_for(500ms);
    for (unsigned at = 0; at < 3; ++at) {
        world.start_scheduler(at);
    }
    for (unsigned at = 0; at < 4; ++at) {
        world.start_guard(at);
    }
    CHECK(world.run_until([&] { return world.completed("j"); }, 20s));
    CHECK(world.violations.empty());
}

TEST_CASE("Runs of a worker that crashes and comes back run again", "[workload]") {
    simulated_cluster world(9, {.run_time = 2s});
    world.run_for(2s);
    REQUIRE(world.submit(job_of("j", 1, 8)));
    REQUIRE(world.run_until([&] { return world.runs_started == 1; }, 1s));
    const auto where = world.busy_host();
    world.crash_worker(where);
    CHECK(world.run_until([&] { return world.completed("j"); }, 8s));
    CHECK(world.runs_started == 2);
    CHECK(world.violations.empty());
}

TEST_CASE("Runs of a worker that stays silent run again once its lease has lapsed", "[workload]") {
    simulated_cluster world(10, {.run_time = 12s});
    // A guard that has just started does not know what lease an earlier one gave.
    world.run_for(12s);
    REQUIRE(world.submit(job_of("j", 1, 8)));
    REQUIRE(world.run_until([&] { return world.runs_started == 1; }, 1s));
    const auto where = world.busy_host();
    // Its guard lives on and reports.
    world.worker(where).now.silent = true;
    CHECK(world.run_until([&] { return world.runs_started == 2; }, 9s));
    CHECK(world.violations.empty());
}

TEST_CASE("An ended job is forgotten everywhere after a while, and does not come back",
          "[workload]") {
    simulated_cluster world(14, {});
    world.run_for(2s);
    REQUIRE(world.submit(job_of("j", 2, 1)));
    REQUIRE(world.run_until([&] { return world.completed("j"); }, 4s));
    world.run_for(100s);
    CHECK(world.completed("j"));
    world.run_for(40s);
    CHECK_FALSE(world.phase("j").has_value());
    const auto is_of_job = [](const keyed_entry& entry) {
        return entry.record.key.ends_with("/j");
    };
    for (const auto* topic : {"keyed.baobabrack-jobs", "keyed.baobabrack-progress"}) {
        const auto page = world.store.newest(topic_id{topic});
        CHECK(std::none_of(page.entries.begin(), page.entries.end(), is_of_job));
    }
    world.kill_scheduler(world.leader_index());
    world.run_for(10s);
    CHECK(world.runs_started == 2);
}

TEST_CASE("A submission that may be stored is never called refused", "[workload]") {
    simulated_cluster world(11, {.schedulers = 1});
    world.run_for(2s);
    world.store_link(0).now.lost_answers = 1;
    std::optional<workload::intake_writer::receipt> receipt;
    world.scheduler(0)->submit(job_of("j", 1, 1), 2500ms, [&](auto got) { receipt = got; });
    REQUIRE(world.run_until([&] { return receipt.has_value(); }, 4s));
    CHECK(receipt == workload::intake_writer::receipt::unknown);
}

TEST_CASE("A leader that has lost the store extends no lease for good", "[workload]") {
    simulated_cluster world(12, {.run_time = 60s});
    world.run_for(12s);
    REQUIRE(world.submit(job_of("j", 1, 8)));
    REQUIRE(world.run_until([&] { return world.runs_started == 1; }, 1s));
    const auto where = world.busy_host();
    const auto old_leader = world.leader_index();
    // The guard hears only the old leader, and the others lead meanwhile.
    for (unsigned at = 0; at < 3; ++at) {
        if (at != old_leader) {
            world.disconnect("s" + std::to_string(at), "h" + std::to_string(where));
        }
    }
    world.store_link(old_leader).now.silent = true;
    CHECK(world.run_until([&] { return world.runs_started == 2; }, 15s));
    CHECK(world.violations.empty());
}

TEST_CASE("A worker that was silent gets no longer lease before the leader knows it is back",
          "[workload]") {
    simulated_cluster world(13, {.run_time = 60s});
    world.run_for(12s);
    REQUIRE(world.submit(job_of("j", 1, 8)));
    REQUIRE(world.run_until([&] { return world.runs_started == 1; }, 1s));
    const auto where = world.busy_host();
    world.worker(where).now.silent = true;
    world.run_for(3500ms);
    for (unsigned at = 0; at < 3; ++at) {
        world.disconnect("s" + std::to_string(at), "h" + std::to_string(where));
    }
    world.run_for(100ms);
    world.worker(where).now.silent = false;
    CHECK(world.run_until([&] { return world.runs_started == 2; }, 12s));
    CHECK(world.violations.empty());
}
