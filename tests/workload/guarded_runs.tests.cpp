#include "baobabrack/workload/guarded_runs.hpp"

#include <catch2/catch.hpp>

using namespace baobabrack;
using namespace baobabrack::workload;

namespace {

const resources worker_capacity{.cpu = cpu_millicores{100}};

start_order order_of(std::uint32_t index, std::uint32_t cpu) {
    return {.task = {.step = {.job = job_id{"j"}}, .index = index},
            .run = run_number{1},
            .payload = "payload",
            .checkpoint = {},
            .needs = {.cpu = cpu_millicores{cpu}}};
}

reported_run listed(const start_order& start) {
    return {.task = start.task, .run = start.run};
}

ended_run ended(std::uint64_t sequence, const start_order& start) {
    return {
        .sequence = sequence, .task = start.task, .run = start.run, .outcome = run_outcome::done};
}

}  // namespace

TEST_CASE("The room on a worker follows starts, ends, refusals and inherited runs",
          "[guarded_runs]") {
    const auto first = order_of(0, 60);
    const auto second = order_of(1, 60);
    const auto has_room = [&](const guarded_runs& runs) {
        return runs.fits(second.needs, worker_capacity);
    };
    guarded_runs runs;
    runs.apply_lists(1, {}, 0);
    REQUIRE(has_room(runs));
    runs.record_start(first, 1);
    CHECK_FALSE(has_room(runs));
    SECTION("the run ends") {
        runs.apply_lists(2, {.runs = {listed(first)}}, 0);
        CHECK_FALSE(has_room(runs));
        runs.apply_lists(3, {.runs = {}, .ends = {ended(1, first)}}, 0);
        CHECK(has_room(runs));
    }
    SECTION("the start is refused") {
        runs.record_refusal({first.task, first.run}, "no_room");
        CHECK(has_room(runs));
    }
    SECTION("the start is withdrawn") {
        CHECK(runs.withdraw_start({first.task, first.run}));
        CHECK(has_room(runs));
    }
    SECTION("an earlier guard has started another run") {
        runs.record_refusal({first.task, first.run}, "no_room");
        const auto inherited = order_of(2, 50);
        runs.apply_lists(2, {.runs = {listed(inherited)}}, 0);
        CHECK(has_room(runs));
        runs.record_needs({.task = inherited.task, .run = inherited.run, .needs = inherited.needs});
        CHECK_FALSE(has_room(runs));
        runs.apply_lists(3, {}, 0);
        CHECK(has_room(runs));
    }
}

// The payload is dropped once a run is listed, and a start with another payload would be false.
TEST_CASE("A run that was listed is not started again when it is missing from later lists",
          "[guarded_runs]") {
    const auto start = order_of(0, 10);
    guarded_runs runs;
    runs.record_start(start, 1);
    runs.set_deciding_renewal({start.task, start.run}, 1, true);
    const bool was_listed = GENERATE(false, true);
    if (was_listed) {
        REQUIRE(runs.apply_lists(1, {.runs = {listed(start)}}, 0).lost_starts.empty());
    }
    const auto lost = runs.apply_lists(2, {}, 0).lost_starts;
    REQUIRE(lost.size() == 1);
    CHECK(lost.front().outdated == was_listed);
    CHECK(lost.front().run.payload == (was_listed ? "" : "payload"));
}
