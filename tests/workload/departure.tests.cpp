#include "baobabrack/workload/departure.hpp"

#include <catch2/catch.hpp>

#include "workload/scheduler_fixture.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr time_point now{100s};
constexpr duration stop_delay = 900ms;

job_spec timed_gang(const std::string& id, std::uint32_t tasks, duration estimated) {
    auto job = job_of(id, tasks, 8, true);
    job.steps.front().estimated = estimated;
    return job;
}

void announce_departure(scheduler_fixture& fixture, const std::string& host, duration time_left) {
    fixture.reports[host].facts.draining = true;
    fixture.reports[host].facts.time_left = time_left;
}

void run_passes(scheduler_fixture& fixture, int count) {
    for (int pass = 0; pass < count; ++pass) {
        fixture.run_pass();
    }
}

}  // namespace

TEST_CASE("A run that ends before its worker leaves is not stopped", "[departure]") {
    CHECK_FALSE(stop_before_departure({.expected_end = now + 2s}, now, now + 2s, stop_delay));
}

TEST_CASE("A run that cannot end before its worker leaves is stopped at once", "[departure]") {
    CHECK(stop_before_departure({.expected_end = now + 5s}, now, now + 2s, stop_delay) == now);
}

TEST_CASE("A run whose work a stop saves goes on until the last moment", "[departure]") {
    const departing_run saved{.expected_end = now + 5s, .saved_by_stop = true};
    CHECK(stop_before_departure(saved, now, now + 2s, stop_delay) == now + 2s - stop_delay);
    CHECK(stop_before_departure(saved, now, now + 500ms, stop_delay) == now);
    CHECK(stop_before_departure({.expected_end = std::nullopt}, now, now + 2s, stop_delay) ==
          now + 2s - stop_delay);
}

TEST_CASE("A run that is late on a worker that stays on may end", "[departure]") {
    const departing_run late{.expected_end = now + 1s};
    CHECK_FALSE(stop_before_departure(late, now, now - 100ms, stop_delay));
}

// Runs on a worker that left at short notice were known to have ended only once its lease had
// expired, seven seconds later, and their gangs waited for as long.
TEST_CASE("A gang on a worker that leaves starts elsewhere before it has left",
          "[scheduler][departure]") {
    scheduler_fixture fixture;
    for (const auto* host : {"h1", "h2", "h3", "h4"}) {
        fixture.add_worker(host);
    }
    fixture.submit(timed_gang("gang", 2, 8s));
    run_passes(fixture, 3);
    REQUIRE(fixture.run_count("h1", "gang") == 1);
    REQUIRE(fixture.run_count("h2", "gang") == 1);
    announce_departure(fixture, "h1", 1600ms);
    run_passes(fixture, 4);
    CHECK(fixture.run_count("h1") == 0);
    CHECK(fixture.run_count("h2", "gang") + fixture.run_count("h3", "gang") +
              fixture.run_count("h4", "gang") ==
          2);
    CHECK(fixture.subject.counts().departed == 1);
}

TEST_CASE("A short run is left to end on a worker that leaves", "[scheduler][departure]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(timed_gang("gang", 1, 1s));
    run_passes(fixture, 3);
    REQUIRE(fixture.run_count("h1", "gang") == 1);
    announce_departure(fixture, "h1", 4s);
    run_passes(fixture, 3);
    CHECK(fixture.run_count("h1", "gang") == 1);
    CHECK(fixture.subject.counts().stopped == 0);
}

// A worker that drains without a time is left alone, as before.
TEST_CASE("A worker that drains without an announced time keeps its runs",
          "[scheduler][departure]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(timed_gang("gang", 1, 60s));
    run_passes(fixture, 3);
    fixture.reports["h1"].facts.draining = true;
    run_passes(fixture, 3);
    CHECK(fixture.run_count("h1", "gang") == 1);
}
