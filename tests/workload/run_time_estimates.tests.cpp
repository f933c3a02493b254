#include "baobabrack/workload/run_time_estimates.hpp"

#include <catch2/catch.hpp>
#include <cmath>
#include <random>

#include "baobabrack/units/seconds.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

namespace {

const queue_id queue{"queue"};

/// Log-normal run times around 2.5 s with estimates that are off by `error`.
struct run_source {
    double error = 0;
    std::mt19937_64 random{7};
    std::normal_distribution<> normal{};

    std::pair<duration, duration> next() {
        const auto took = 2.5 * std::exp(0.5 * normal(random));
        return {from_seconds(took * std::exp(error * normal(random))), from_seconds(took)};
    }
};

/// @return the mean absolute error of the logarithm, without and with the correction
std::pair<double, double> errors_after(run_source source, int runs) {
    run_time_estimates estimates;
    for (int run = 0; run < runs; ++run) {
        const auto [estimated, took] = source.next();
        estimates.add(queue, estimated, took);
    }
    const auto distance = [](duration left, duration right) {
        return std::abs(std::log(to_seconds(left) / to_seconds(right)));
    };
    std::pair<double, double> sums;
    for (int run = 0; run < 1000; ++run) {
        const auto [estimated, took] = source.next();
        sums.first += distance(estimated, took);
        sums.second += distance(estimates.expected(queue, estimated), took);
    }
    return {sums.first / 1000, sums.second / 1000};
}

}  // namespace

TEST_CASE("Few runs of a queue exceed the bound derived from its earlier runs",
          "[run_time_estimates]") {
    run_time_estimates estimates;
    const queue_id good{"good"};
    const queue_id bad{"bad"};
    CHECK_FALSE(estimates.upper_bound(good, 1s));
    for (int run = 0; run < 12; ++run) {
        estimates.add(good, 1s, run % 2 == 0 ? 900ms : 1100ms);
        estimates.add(bad, 1s, run % 2 == 0 ? 300ms : 3000ms);
    }
    CHECK(*estimates.upper_bound(good, 1s) < 1700ms);
    CHECK(*estimates.upper_bound(bad, 1s) > 10s);
}

TEST_CASE("An estimate stands until enough runs of its queue have ended", "[run_time_estimates]") {
    run_time_estimates estimates;
    CHECK(estimates.expected(queue, 800ms) == 800ms);
    estimates.add(queue, 1s, 5s);
    CHECK(estimates.expected(queue, 800ms) == 800ms);
}

// A burst of urgent jobs was ordered by estimates that said nothing, so jobs that could have been
// in time were ranked behind others as late.
TEST_CASE("Expected run times are nearer to the truth than wrong estimates",
          "[run_time_estimates]") {
    const auto [given, corrected] = errors_after({.error = 0.9}, 20);
    CHECK(corrected < given * 0.75);
}

TEST_CASE("Good estimates are not made worse", "[run_time_estimates]") {
    const auto [given, corrected] = errors_after({.error = 0.2}, 20);
    CHECK(corrected < given * 1.15);
}

// A run declared at 60 s was expected to take 100 ms like all runs before it. Its worker counted as
// slow, and the run was stopped after 4 s.
TEST_CASE("A declared time far from all earlier ones is not corrected to theirs",
          "[run_time_estimates]") {
    run_time_estimates estimates;
    for (int run = 0; run < 20; ++run) {
        estimates.add(queue, run % 2 == 0 ? 100ms : 105ms, run % 3 == 0 ? 90ms : 110ms);
    }
    CHECK(estimates.expected(queue, 60s) > 40s);
    CHECK(estimates.expected(queue, 60s) < 90s);
    CHECK_FALSE(estimates.upper_bound(queue, 60s));
    CHECK_FALSE(estimates.upper_bound(queue, 10ms));
    REQUIRE(estimates.upper_bound(queue, 100ms));
    CHECK(*estimates.upper_bound(queue, 100ms) < 250ms);
}

// The other side: where declared times say nothing, a run is expected to take as long as others,
// within the range of the declared times seen and not beyond it.
TEST_CASE("Only data replaces a declared time", "[run_time_estimates]") {
    run_time_estimates estimates;
    for (int run = 0; run < 30; ++run) {
        estimates.add(queue, run % 2 == 0 ? 1s : 16s, run % 3 == 0 ? 3600ms : 4400ms);
    }
    CHECK(estimates.expected(queue, 1s) > 2s);
    CHECK(estimates.expected(queue, 16s) < 8s);
    // Beyond a margin of 1.9 around the range, expected times are in proportion to declared ones.
    CHECK(estimates.expected(queue, 160s) > estimates.expected(queue, 16s) * 5);
    CHECK(estimates.expected(queue, 320s) > estimates.expected(queue, 32s) * 9);
    CHECK(estimates.expected(queue, 50ms) * 9 < estimates.expected(queue, 500ms));
}

// The sums went back to the first run, so that a change showed only after as many runs again.
TEST_CASE("Run times that change are followed", "[run_time_estimates]") {
    run_time_estimates estimates;
    for (int run = 0; run < 500; ++run) {
        estimates.add(queue, 2s, 2s);
    }
    for (int run = 0; run < 40; ++run) {
        estimates.add(queue, 2s, 8s);
    }
    CHECK(estimates.expected(queue, 2s) > 7s);
}

// One wide step can end more runs at once than the window of its declared time has.
TEST_CASE("A wide step does not displace what is known of other declared times",
          "[run_time_estimates]") {
    run_time_estimates estimates;
    for (int run = 0; run < 10; ++run) {
        estimates.add(queue, 10s, 12s);
    }
    for (int run = 0; run < 500; ++run) {
        estimates.add(queue, 1s, 3s);
    }
    CHECK(estimates.expected(queue, 10s) > 10s);
    CHECK(estimates.expected(queue, 10s) < 15s);
    CHECK(estimates.upper_bound(queue, 10s));
}

// Declared times are off by a factor of up to 1.9 either way, so a few equal run times do not show
// that the next one is equal too.
TEST_CASE("Few equal run times give a wide bound", "[run_time_estimates]") {
    run_time_estimates estimates;
    for (int run = 0; run < 6; ++run) {
        estimates.add(queue, 1s, 1s);
    }
    REQUIRE(estimates.upper_bound(queue, 1s));
    CHECK(*estimates.upper_bound(queue, 1s) > 1700ms);
}
