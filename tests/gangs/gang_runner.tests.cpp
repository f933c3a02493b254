#include "baobabrack/gangs/gang_runner.hpp"

#include <catch2/catch.hpp>

#include "gang_rig.hpp"

using namespace baobabrack;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

// Kills one of the workers that have a task.
//
// Returns whether there was one.
bool kill_a_holder(gang_rig& rig) {
    for (const auto& [name, worker] : rig.platform.alive()) {
        if (!worker->held().empty()) {
            rig.platform.kill(name);
            return true;
        }
    }
    return false;
}

}  // namespace

TEST_CASE("A gang runs whole and finishes", "[gangs]") {
    gang_rig rig;
    rig.submit(make_job("j1", 4, 4, "run_ms=20000"));
    rig.run(1s);
    CHECK(rig.phase("j1") == job_phase::committed);
    CHECK(rig.running("j1") == 2);
    rig.run(30s);
    CHECK(rig.phase("j1") == job_phase::finished);
    CHECK(rig.running("j1") == 0);
}

TEST_CASE("A gang that lost a member stops whole and runs again", "[gangs]") {
    gang_rig rig;
    rig.submit(make_job("j1", 4, 4, "run_ms=20000"));
    rig.run(1s);
    SECTION("its worker died") {
        rig.platform.kill(worker_id{"w0"});
        rig.run(60s);
        CHECK(rig.state.find(job_id{"j1"})->attempt == attempt_number{2});
        rig.run(60s);
        CHECK(rig.phase("j1") == job_phase::finished);
    }
    SECTION("its worker was paused beyond its lease") {
        rig.platform.pause(worker_id{"w0"}, 40s);
        rig.run(120s);
        CHECK(rig.phase("j1") == job_phase::finished);
    }
}

// As for jobs of workloads: no sixth attempt after each attempt before has killed its worker.
TEST_CASE("A gang that kills every worker on which it starts is given up", "[gangs]") {
    gang_rig rig(8);
    rig.submit(make_job("j1", 1, 1, "run_ms=20000"));
    for (int kill = 0; kill < 6; ++kill) {
        rig.run(1s);
        kill_a_holder(rig);
        rig.run(60s);
    }
    CHECK(rig.state.find(job_id{"j1"})->attempt <= attempt_number{5});
    CHECK(rig.phase("j1") == job_phase::failed);
}

TEST_CASE("Workers that a gang has killed are counted across snapshots", "[gangs]") {
    gang_rig rig(8);
    rig.submit(make_job("j1", 1, 1, "run_ms=20000"));
    unsigned killed = 0;
    for (int round = 0; round < 7; ++round) {
        rig.run(1s);
        killed += kill_a_holder(rig) ? 1U : 0U;
        rig.run(60s);
        REQUIRE(rig.state.load(rig.state.save()));
    }
    CHECK(killed <= 5);
    CHECK(rig.phase("j1") == job_phase::failed);
}

TEST_CASE("A gang that lost workers long after each start goes on", "[gangs]") {
    gang_rig rig(8);
    rig.submit(make_job("j1", 1, 1, "run_ms=1000000"));
    rig.run(1s);
    for (std::uint32_t attempt = 1; attempt <= 6; ++attempt) {
        REQUIRE(rig.state.find(job_id{"j1"})->attempt == attempt_number{attempt});
        REQUIRE(rig.phase("j1") == job_phase::committed);
        rig.run(35s);
        REQUIRE(kill_a_holder(rig));
        rig.run(60s);
    }
    rig.run(1000s);
    CHECK(rig.phase("j1") == job_phase::finished);
}

TEST_CASE("A cancelled job stops", "[gangs]") {
    gang_rig rig;
    rig.submit(make_job("j1", 4, 4, "run_ms=20000"));
    rig.run(1s);
    rig.runner.cancel(job_id{"j1"}, "not wanted", 1s, [](const result<record_position>&) {});
    rig.run(1s);
    CHECK(rig.phase("j1") == job_phase::cancelled);
    CHECK(rig.running("j1") == 0);
}

TEST_CASE("A job whose tasks fail everywhere is given up", "[gangs]") {
    gang_rig rig(8);
    rig.submit(make_job("j1", 1, 1, "run_ms=1000;fail"));
    rig.run(200s);
    CHECK(rig.phase("j1") == job_phase::failed);
}

TEST_CASE("A preempted gang resumes from its checkpoint", "[gangs]") {
    gang_rig rig;
    rig.submit(make_job("j1", 2, 8, "run_ms=60000"));
    rig.run(21s);
    rig.planning.stop(job_id{"j1"});
    rig.run(3s);
    const auto* now = rig.state.find(job_id{"j1"});
    CHECK(now->attempt == attempt_number{2});
    CHECK(now->checkpoint >= 19s);
    rig.run(50s);
    CHECK(rig.phase("j1") == job_phase::finished);
}
