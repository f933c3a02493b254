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
