#include <catch2/catch.hpp>
#include <set>
#include <vector>

#include "workload/scheduler_fixture.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t members = 4;
constexpr std::uint32_t attempts = 4;

job_spec gang_job() {
    auto job = job_of("gang", members, 2, true);
    job.most_attempts = attempts;
    return job;
}

/// Lets the hosts on which runs of the job have failed count as usable again.
void wait_out_exclusion(scheduler_fixture& fixture) {
    fixture.now += 10s;
    fixture.wall_now += 10s;
}

/// Runs passes until the gang has been started in whole, on whichever hosts.
///
/// @return whether it has
bool start_gang(scheduler_fixture& fixture) {
    for (int pass = 0; pass < 5; ++pass) {
        std::size_t running = 0;
        for (const auto& [host, report] : fixture.reports) {
            running += report.runs.size();
        }
        if (running == members) {
            return true;
        }
        fixture.run_pass();
    }
    return false;
}

/// Ends the runs of the given members as failed and those of all others as broken.
void fail_members(scheduler_fixture& fixture, const std::set<std::uint32_t>& failing) {
    for (auto& [host, report] : fixture.reports) {
        const auto runs = report.runs;
        for (const auto& run : runs) {
            fixture.end_run(
                host, run.task, run.run,
                failing.contains(run.task.index) ? run_outcome::failed : run_outcome::gang_broken);
        }
    }
}

}  // namespace

// The failures of all members were added up, so that one run used up as many attempts as it has
// members.
TEST_CASE("A run in which all members of a gang fail counts as one attempt",
          "[scheduler][gang-attempts]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.add_worker("h2");
    fixture.submit(gang_job());
    REQUIRE(start_gang(fixture));
    fail_members(fixture, {0, 1, 2, 3});
    fixture.run_pass();
    CHECK(fixture.subject.open_jobs() == 1);
    wait_out_exclusion(fixture);
    CHECK(start_gang(fixture));
}

// Ends of one run arrive in several reports, before and after a change of the leader.
TEST_CASE("A failed run of a gang counts once although another scheduler reads its other ends",
          "[scheduler][gang-attempts]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(gang_job());
    REQUIRE(start_gang(fixture));
    const auto runs = fixture.reports["h1"].runs;
    REQUIRE(runs.size() == members);
    fixture.end_run("h1", runs[0].task, runs[0].run, run_outcome::failed);
    fixture.subject.handle_report(fixture.reports["h1"], fixture.now);
    fixture.subject.decide(&fixture.config, fixture.now, fixture.wall_now);
    const auto batch = fixture.subject.drain_batch(false);
    REQUIRE(batch.changes.size() == 1);

    const auto spec = gang_job();
    const auto stored = from_wire(spec, to_wire(batch.changes[0].progress));
    scheduler_fixture next;
    next.add_worker("h1");
    next.reports["h1"].runs = fixture.reports["h1"].runs;
    next.reports["h1"].ends = fixture.reports["h1"].ends;
    next.subject.add_job({.spec = spec, .progress = stored, .cancelled = false}, next.now);
    for (std::size_t member = 1; member < members; ++member) {
        next.end_run("h1", runs[member].task, runs[member].run, run_outcome::failed);
    }
    next.run_pass();
    CHECK(next.subject.open_jobs() == 1);
    wait_out_exclusion(next);
    CHECK(start_gang(next));
}

// The other side: the largest count of any one member would be too low.
TEST_CASE("A gang is given up after its attempts, whichever members fail",
          "[scheduler][gang-attempts]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.add_worker("h2");
    fixture.submit(gang_job());
    std::vector<std::set<std::uint32_t>> failing;
    SECTION("another one each time") {
        failing = {{0}, {1}, {2}, {3}};
    }
    SECTION("all of them each time") {
        failing = {{0, 1, 2, 3}, {0, 1, 2, 3}, {0, 1, 2, 3}, {0, 1, 2, 3}};
    }
    SECTION("some of them") {
        failing = {{0, 1}, {1, 2}, {3}, {0, 2, 3}};
    }
    for (std::uint32_t attempt = 0; attempt < attempts; ++attempt) {
        INFO("attempt " << attempt);
        REQUIRE(start_gang(fixture));
        fail_members(fixture, failing[attempt]);
        fixture.run_pass();
        wait_out_exclusion(fixture);
    }
    CHECK_FALSE(start_gang(fixture));
    CHECK(fixture.subject.open_jobs() == 0);
}

// Whether a run had been counted was decided by the current run, so that ends of an earlier one
// were counted at each member.
TEST_CASE("Late ends of a gang's earlier run use up one attempt, however often they arrive",
          "[scheduler][gang-attempts]") {
    const auto spec = gang_job();
    job_progress progress{.phase = job_phase::active, .occurrences = {new_occurrence(spec, 0)}};
    auto& tasks = progress.occurrences.front().steps.front();
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.add_worker("h2");
    for (auto& task : tasks) {
        task.phase = task_phase::assigned;
        task.run = run_number{2};
        task.place = fixture.reports["h2"].facts.instance;
    }
    fixture.subject.add_job({.spec = spec, .progress = progress, .cancelled = false}, fixture.now);
    for (std::uint32_t index = 0; index < members; ++index) {
        const task_name name{.step = {.job = spec.id}, .index = index};
        fixture.reports["h2"].runs.push_back({.task = name, .run = run_number{2}, .percent = 1});
        fixture.end_run("h1", name, run_number{1}, run_outcome::failed);
    }
    fixture.run_pass();
    const auto batch = fixture.subject.drain_batch(true);
    CHECK(fixture.subject.open_jobs() == 1);
    CHECK(fixture.run_count("h2") == members);
}
