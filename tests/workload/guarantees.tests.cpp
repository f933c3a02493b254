#include <catch2/catch.hpp>

#include "workload/scheduler_fixture.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

/// Workers h1 to h4 of eight accelerators each, and workspaces of which each is guaranteed 16.
class guarantee_fixture : public scheduler_fixture {
public:
    guarantee_fixture() {
        config.workspaces.clear();
        for (const auto* name : {"a", "b", "c"}) {
            config.workspaces.push_back(
                {.id = workspace_id{name}, .keys = {}, .guaranteed = accelerator_count{16}});
        }
        for (const auto* host : {"h1", "h2", "h3", "h4"}) {
            add_worker(host);
        }
    }

    /// Submits a long job of priority 0 unless `priority` says otherwise.
    void submit_for(const std::string& workspace, const std::string& id, std::uint32_t tasks,
                    std::uint32_t accelerators, bool gang = false, std::uint32_t priority = 0) {
        auto job = job_of(id, tasks, accelerators, gang);
        job.workspace = workspace_id{workspace};
        job.priority = priority;
        job.steps.front().estimated = 600s;
        submit(job);
    }

    /// Runs passes for the given time. Runs make one percent of progress in a second.
    void run_for(duration span) {
        for (const auto end = now + span; now < end;) {
            run_pass();
            const bool progresses = ++passes_ % 10 == 0;
            for (auto& [host, report] : reports) {
                for (auto& run : report.runs) {
                    run.percent += progresses ? 1 : 0;
                }
            }
        }
    }

    std::size_t runs_of(const std::string& job) {
        std::size_t count = 0;
        for (const auto& [host, report] : reports) {
            count += run_count(host, job);
        }
        return count;
    }

private:
    unsigned passes_ = 0;
};

}  // namespace

// Only runs of a lower priority were preempted, so idle accelerators that were lent to a job of
// priority 0 were never returned.
TEST_CASE("A guaranteed job gets back what another workspace uses beyond its guarantee",
          "[scheduler][guarantees]") {
    guarantee_fixture fixture;
    SECTION("used by single tasks") {
        fixture.submit_for("b", "borrower", 4, 8);
        fixture.run_for(1s);
        REQUIRE(fixture.runs_of("borrower") == 4);
        fixture.submit_for("a", "owner", 2, 4);
        fixture.run_for(2s);
        CHECK(fixture.runs_of("owner") == 2);
        CHECK(fixture.runs_of("borrower") == 3);
    }
    SECTION("used by a gang that does not fit into the guarantee") {
        fixture.submit_for("b", "borrower", 4, 8, true);
        fixture.run_for(1s);
        REQUIRE(fixture.runs_of("borrower") == 4);
        fixture.submit_for("a", "owner", 2, 8);
        fixture.run_for(2s);
        CHECK(fixture.runs_of("owner") == 2);
        CHECK(fixture.runs_of("borrower") == 0);
    }
    SECTION("needed by a gang") {
        fixture.submit_for("b", "borrower", 4, 8);
        fixture.run_for(1s);
        fixture.submit_for("a", "owner", 2, 8, true);
        fixture.run_for(2s);
        CHECK(fixture.runs_of("owner") == 2);
        CHECK(fixture.runs_of("borrower") == 2);
    }
    SECTION("by a workspace without a guarantee") {
        fixture.submit_for("unknown", "borrower", 4, 8);
        fixture.run_for(1s);
        REQUIRE(fixture.runs_of("borrower") == 4);
        fixture.submit_for("a", "owner", 2, 8);
        fixture.submit_for("c", "other-owner", 2, 8);
        fixture.run_for(2s);
        CHECK(fixture.runs_of("owner") == 2);
        CHECK(fixture.runs_of("other-owner") == 2);
    }
    SECTION("the preempted job does not preempt in turn") {
        fixture.submit_for("b", "borrower", 4, 8);
        fixture.run_for(1s);
        fixture.submit_for("a", "owner", 1, 8);
        fixture.run_for(2s);
        REQUIRE(fixture.runs_of("owner") == 1);
        const auto preempted = fixture.subject.counts().preempted;
        fixture.run_for(20s);
        CHECK(fixture.subject.counts().preempted == preempted);
        CHECK(fixture.runs_of("owner") == 1);
    }
}

TEST_CASE("A workspace keeps its own guarantee when others reclaim theirs",
          "[scheduler][guarantees]") {
    guarantee_fixture fixture;
    SECTION("single tasks") {
        fixture.submit_for("b", "borrower", 4, 8);
        fixture.run_for(1s);
        fixture.submit_for("a", "owner-a", 2, 8);
        fixture.submit_for("c", "owner-c", 2, 8);
        fixture.run_for(10s);
        CHECK(fixture.runs_of("borrower") == 2);
        CHECK(fixture.runs_of("owner-a") + fixture.runs_of("owner-c") == 2);
    }
    SECTION("a gang within the guarantee, beside other work") {
        fixture.submit_for("b", "gang", 2, 8, true);
        fixture.run_for(1s);
        fixture.submit_for("b", "more", 2, 8);
        fixture.run_for(1s);
        REQUIRE(fixture.runs_of("gang") + fixture.runs_of("more") == 4);
        fixture.submit_for("a", "owner-a", 2, 8);
        fixture.submit_for("c", "owner-c", 2, 8);
        fixture.run_for(10s);
        CHECK(fixture.runs_of("gang") == 2);
        CHECK(fixture.runs_of("more") == 0);
    }
    SECTION("all within its guarantee") {
        fixture.submit_for("b", "kept", 2, 8);
        fixture.submit_for("c", "kept-too", 2, 8);
        fixture.run_for(1s);
        fixture.submit_for("a", "owner", 1, 8);
        fixture.run_for(10s);
        CHECK(fixture.runs_of("kept") == 2);
        CHECK(fixture.runs_of("kept-too") == 2);
        CHECK(fixture.subject.counts().preempted == 0);
    }
    SECTION("runs of other services count as well") {
        fixture.add_worker("other", "r2", "other");
        auto elsewhere = job_of("elsewhere", 1, 8);
        elsewhere.workspace = workspace_id{"b"};
        elsewhere.service = service_id{"other"};
        elsewhere.priority = 0;
        elsewhere.steps.front().estimated = 600s;
        fixture.submit(elsewhere);
        fixture.run_for(1s);
        fixture.submit_for("b", "borrower", 4, 8);
        fixture.run_for(1s);
        REQUIRE(fixture.runs_of("borrower") == 4);
        fixture.submit_for("a", "owner-a", 2, 8);
        fixture.submit_for("c", "owner-c", 2, 8);
        fixture.run_for(10s);
        CHECK(fixture.runs_of("elsewhere") + fixture.runs_of("borrower") == 2);
    }
}

TEST_CASE("A guaranteed job preempts lower priorities before those who borrow",
          "[scheduler][guarantees]") {
    guarantee_fixture fixture;
    fixture.submit_for("b", "borrower", 3, 8);
    fixture.submit_for("c", "low", 1, 8, false, 2);
    fixture.run_for(5s);
    REQUIRE(fixture.runs_of("borrower") + fixture.runs_of("low") == 4);
    fixture.submit_for("a", "owner", 1, 8);
    fixture.run_for(2s);
    CHECK(fixture.runs_of("owner") == 1);
    CHECK(fixture.runs_of("borrower") == 3);
    CHECK(fixture.runs_of("low") == 0);
}

TEST_CASE("A workspace that asks for more than its guarantee reclaims nothing at priority 0",
          "[scheduler][guarantees]") {
    guarantee_fixture fixture;
    fixture.submit_for("b", "borrower", 4, 8);
    fixture.run_for(1s);
    fixture.submit_for("a", "large", 3, 8);
    fixture.run_for(5s);
    CHECK(fixture.runs_of("borrower") == 4);
    CHECK(fixture.subject.counts().preempted == 0);
}

// A job kept the name that its workspace had at its submission, for which there was no guarantee
// any more, so that its runs could be reclaimed.
TEST_CASE("A renamed workspace keeps its guarantee for the jobs that it had before",
          "[scheduler][guarantees]") {
    guarantee_fixture fixture;
    workspace_registry workspaces;
    fixture.config.version = config_version{1};
    fixture.config.workspaces[0].keys = {"key-of-a"};
    fixture.config.workspaces[1].guaranteed = accelerator_count{8};
    workspaces.update(fixture.config);
    fixture.subject.update_owners(workspaces);
    fixture.submit_for("b", "borrower", 4, 8);
    fixture.run_for(1s);
    fixture.submit_for("a", "owner", 2, 8);
    fixture.run_for(2s);
    REQUIRE(fixture.runs_of("owner") == 2);
    fixture.config.version = config_version{2};
    fixture.config.workspaces[0].id = workspace_id{"renamed"};
    workspaces.update(fixture.config);
    fixture.subject.update_owners(workspaces);
    fixture.submit_for("c", "other", 1, 8);
    fixture.run_for(2s);
    CHECK(fixture.runs_of("other") == 1);
    CHECK(fixture.runs_of("owner") == 2);
    CHECK(fixture.runs_of("borrower") == 1);
}
