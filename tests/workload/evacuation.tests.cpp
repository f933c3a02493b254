// Evacuation of a data centre: decisions, and clusters of schedulers and guards.
#include <algorithm>
#include <catch2/catch.hpp>

#include "workload/scheduler_fixture.hpp"

using namespace baobabrack;
using namespace baobabrack::testing;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

namespace {

const data_centre_id north{"north"};
const data_centre_id south{"south"};

/// Two workers, one in each data centre.
void add_workers(scheduler_fixture& fixture) {
    fixture.add_worker("h1");
    fixture.add_worker("h2");
    fixture.reports["h1"].facts.data_centre = north;
    fixture.reports["h2"].facts.data_centre = south;
}

std::vector<std::string> waiting_texts(scheduler_fixture& fixture) {
    std::vector<std::string> texts;
    for (const auto& event : fixture.subject.drain_decision_events()) {
        if (event.event == "job-waiting") {
            texts.push_back(event.detail);
        }
    }
    return texts;
}

/// Decides and stores, but gives no orders to the guards.
void decide_only(scheduler_fixture& fixture) {
    for (auto& [host, report] : fixture.reports) {
        fixture.subject.handle_report(report, fixture.now);
    }
    fixture.subject.decide(&fixture.config, fixture.now, fixture.wall_now);
    fixture.subject.mark_stored(fixture.subject.drain_batch(true));
}

}  // namespace

// The key was not read: 108 tasks started in evacuated data centres in one day.
TEST_CASE("Nothing is placed in an evacuated data centre until the evacuation is revoked",
          "[scheduler][evacuation]") {
    scheduler_fixture fixture;
    add_workers(fixture);
    fixture.subject.set_evacuated({north});
    fixture.submit(job_of("j", 16, 1));
    for (int pass = 0; pass < 20; ++pass) {
        fixture.run_pass();
    }
    CHECK(fixture.run_count("h1") == 0);
    CHECK(fixture.run_count("h2") == 8);
    const auto texts = waiting_texts(fixture);
    REQUIRE_FALSE(texts.empty());
    CHECK(texts.front().find("hosts left out as evacuated: 1") != std::string::npos);
    fixture.subject.set_evacuated({});
    fixture.run_pass();
    CHECK(fixture.run_count("h1") == 8);
}

TEST_CASE("Runs that have begun in an evacuated data centre go on", "[scheduler][evacuation]") {
    scheduler_fixture fixture;
    add_workers(fixture);
    fixture.submit(job_of("j", 16, 1));
    fixture.run_pass();
    fixture.run_pass();
    REQUIRE(fixture.run_count("h1") == 8);
    fixture.subject.set_evacuated({north});
    fixture.run_pass();
    fixture.run_pass();
    CHECK(fixture.run_count("h1") == 8);
}

// A start that was assigned before the evacuation was still ordered after it.
TEST_CASE("Assignments that have not begun are withdrawn from an evacuated data centre",
          "[scheduler][evacuation]") {
    scheduler_fixture fixture;
    add_workers(fixture);
    fixture.submit(job_of("j", 16, 1));
    decide_only(fixture);
    REQUIRE(fixture.subject.orders_for(fixture.reports["h1"]).starts.size() == 8);
    SECTION("the start was not sent") {
    }
    SECTION("the start was sent and is not confirmed") {
        for (const auto& start : fixture.subject.orders_for(fixture.reports["h1"]).starts) {
            fixture.reports["h1"].runs.push_back(
                {.task = start.task, .run = start.run, .listed = false, .begun = false});
        }
    }
    fixture.subject.set_evacuated({north});
    CHECK(fixture.subject.orders_for(fixture.reports["h1"]).starts.empty());
    decide_only(fixture);
    const auto orders = fixture.subject.orders_for(fixture.reports["h1"]);
    CHECK(orders.starts.empty());
    CHECK(orders.stops.size() == 8);
    CHECK(fixture.subject.orders_for(fixture.reports["h2"]).starts.size() == 8);
}

TEST_CASE("A gang is placed outside the evacuated data centre as a whole",
          "[scheduler][evacuation]") {
    scheduler_fixture fixture;
    add_workers(fixture);
    fixture.submit(job_of("gang", 2, 4, true));
    SECTION("before it is placed") {
        fixture.subject.set_evacuated({north});
        fixture.run_pass();
        CHECK(fixture.run_count("h1") == 0);
        CHECK(fixture.run_count("h2") == 2);
    }
    SECTION("one that needs both data centres waits") {
        fixture.submit(job_of("large", 2, 8, true));
        fixture.subject.set_evacuated({north});
        fixture.run_pass();
        fixture.end_all("h2", run_outcome::done);
        fixture.run_pass();
        fixture.run_pass();
        CHECK(fixture.run_count("h1") == 0);
        CHECK(fixture.run_count("h2", "large") == 0);
        fixture.subject.set_evacuated({});
        fixture.run_pass();
        CHECK(fixture.run_count("h1", "large") == 1);
        CHECK(fixture.run_count("h2", "large") == 1);
    }
}

TEST_CASE("A gang with a withdrawn member is stopped and starts elsewhere",
          "[scheduler][evacuation]") {
    scheduler_fixture fixture;
    add_workers(fixture);
    fixture.submit(job_of("gang", 2, 8, true));
    decide_only(fixture);
    // The member in the other data centre has begun.
    const auto started = fixture.subject.orders_for(fixture.reports["h2"]).starts;
    REQUIRE(started.size() == 1);
    fixture.reports["h2"].runs.push_back({.task = started[0].task, .run = started[0].run});
    fixture.subject.set_evacuated({north});
    decide_only(fixture);
    CHECK(fixture.subject.orders_for(fixture.reports["h1"]).stops.size() == 1);
    CHECK(fixture.subject.orders_for(fixture.reports["h2"]).stops.size() == 1);
    for (int pass = 0; pass < 3; ++pass) {
        fixture.run_pass();
    }
    CHECK(fixture.run_count("h1") == 0);
    fixture.add_worker("h3");
    fixture.reports["h3"].facts.data_centre = south;
    for (int pass = 0; pass < 3; ++pass) {
        fixture.run_pass();
    }
    CHECK(fixture.run_count("h1") == 0);
    CHECK(fixture.run_count("h2") == 1);
    CHECK(fixture.run_count("h3") == 1);
}

TEST_CASE("A run is not preempted for a job that cannot use its worker",
          "[scheduler][evacuation]") {
    scheduler_fixture fixture;
    add_workers(fixture);
    auto background = job_of("background", 2, 8);
    background.priority = 2;
    background.steps.front().estimated = 60s;
    fixture.submit(background);
    fixture.run_pass();
    fixture.run_pass();
    REQUIRE(fixture.run_count("h1") == 1);
    fixture.subject.set_evacuated({north});
    fixture.submit(urgent_job("urgent", 1, 8));
    for (int pass = 0; pass < 40; ++pass) {
        fixture.run_pass();
    }
    CHECK(fixture.run_count("h1", "background") == 1);
    CHECK(fixture.run_count("h2", "urgent") == 1);
}

TEST_CASE("A new leader withdraws only what its guards report as not begun",
          "[scheduler][evacuation]") {
    scheduler_fixture fixture;
    add_workers(fixture);
    fixture.submit(job_of("j", 8, 1));
    fixture.reports["h2"].facts.draining = true;
    decide_only(fixture);
    const auto starts = fixture.subject.orders_for(fixture.reports["h1"]).starts;
    REQUIRE(starts.size() == 8);
    for (std::size_t index = 0; index < 5; ++index) {
        fixture.reports["h1"].runs.push_back(
            {.task = starts[index].task, .run = starts[index].run});
    }
    // The job as stored by the leader before.
    const auto progress = [&] {
        occurrence_progress occurrence;
        auto& tasks = occurrence.steps.emplace_back();
        for (std::uint32_t index = 0; index < 8; ++index) {
            tasks.push_back({.phase = task_phase::assigned,
                             .run = run_number{1},
                             .place = fixture.reports["h1"].facts.instance});
        }
        return job_progress{.phase = job_phase::active, .occurrences = {occurrence}};
    }();
    scheduler next({});
    next.load({}, fixture.now, fixture.now);
    auto spec = job_of("j", 8, 1);
    spec.submitted = fixture.wall_now;
    next.add_job({.spec = spec, .progress = progress, .cancelled = false}, fixture.now);
    next.set_evacuated({north});
    auto unknown = fixture.reports["h1"];
    unknown.lists_known = false;
    unknown.runs.clear();
    next.handle_report(unknown, fixture.now);
    next.decide(&fixture.config, fixture.now, fixture.wall_now);
    CHECK(next.orders_for(fixture.reports["h1"]).stops.empty());
    CHECK(next.orders_for(fixture.reports["h1"]).starts.empty());
    next.handle_report(fixture.reports["h1"], fixture.now);
    next.decide(&fixture.config, fixture.now, fixture.wall_now);
    CHECK(next.orders_for(fixture.reports["h1"]).stops.size() == 3);
    CHECK(next.orders_for(fixture.reports["h1"]).starts.empty());
}

namespace {

/// Two data centres of two hosts each; `z0` is the one to evacuate.
const simulated_cluster::options two_zones{.evacuation_bound = 5s};
const data_centre_id evacuated_zone{"z0"};
const host_id zone_hosts[] = {host_id{"h0"}, host_id{"h1"}};

/// @return the latest start on a host of the evacuated data centre
time_point last_start_in_zone(const simulated_cluster& cluster) {
    time_point last{};
    for (const auto& host : zone_hosts) {
        const auto found = cluster.last_start.find(host);
        last = found == cluster.last_start.end() ? last : std::max(last, found->second);
    }
    return last;
}

void cut_orders(simulated_cluster& cluster, const std::string& scheduler) {
    for (const auto& host : zone_hosts) {
        cluster.cut(scheduler, host.get());
    }
}

void restore_orders(simulated_cluster& cluster, const std::string& scheduler) {
    for (const auto& host : zone_hosts) {
        cluster.restore(scheduler, host.get());
    }
}

/// Submits a job for all hosts, whose orders do not reach the data centre to evacuate.
void assign_without_orders(simulated_cluster& cluster) {
    REQUIRE(cluster.run_until([&] { return cluster.leader() != nullptr; }, 10s));
    cluster.run_for(2s);
    cut_orders(cluster, "s" + std::to_string(cluster.leader_index()));
    REQUIRE(cluster.submit(job_of("j", 4, 8)));
    REQUIRE(cluster.run_until([&] { return cluster.runs_started == 2; }, 1s));
    REQUIRE(last_start_in_zone(cluster) == time_point{});
}

}  // namespace

TEST_CASE("A job that waits for an evacuated data centre ends after the revocation",
          "[cluster][evacuation]") {
    simulated_cluster cluster(1, two_zones);
    REQUIRE(cluster.run_until([&] { return cluster.leader() != nullptr; }, 10s));
    cluster.run_for(1s);
    cluster.config.evacuated_zones = {evacuated_zone};
    REQUIRE(cluster.submit(job_of("gang", 4, 8, true)));
    cluster.run_for(20s);
    CHECK(cluster.runs_started == 0);
    cluster.config.evacuated_zones = {};
    CHECK(cluster.run_until([&] { return cluster.completed("gang"); }, 10s));
    CHECK(cluster.violations.empty());
}

TEST_CASE("A new leader starts nothing that its predecessor assigned in an evacuated data centre",
          "[cluster][evacuation]") {
    simulated_cluster cluster(2, two_zones);
    assign_without_orders(cluster);
    const auto old_leader = cluster.leader_index();
    cluster.config.evacuated_zones = {evacuated_zone};
    cluster.kill_scheduler(old_leader);
    CHECK(cluster.run_until([&] { return cluster.completed("j"); }, 30s));
    CHECK(last_start_in_zone(cluster) == time_point{});
    CHECK(cluster.violations.empty());
}

// The leader knows its assignments, but no longer whether the data centre is evacuated.
TEST_CASE("A leader with old information starts nothing past the bound", "[cluster][evacuation]") {
    auto options = two_zones;
    options.schedulers = 1;
    simulated_cluster cluster(3, options);
    assign_without_orders(cluster);
    const auto evacuated_at = cluster.loop.now();
    cluster.config.confirmed_until = evacuated_at;
    SECTION("after a pause") {
        cluster.pause_scheduler(0);
        restore_orders(cluster, "s0");
        cluster.run_for(5s);
        cluster.resume_scheduler(0);
    }
    SECTION("whose orders did not get through") {
        cluster.run_for(5s);
        restore_orders(cluster, "s0");
    }
    cluster.run_for(3s);
    CHECK(last_start_in_zone(cluster) == time_point{});
    cluster.config.evacuated_zones = {evacuated_zone};
    cluster.config.confirmed_until.reset();
    CHECK(cluster.run_until([&] { return cluster.completed("j"); }, 30s));
    CHECK(last_start_in_zone(cluster) == time_point{});
    CHECK(cluster.violations.empty());
}
