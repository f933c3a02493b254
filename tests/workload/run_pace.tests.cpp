#include "baobabrack/workload/run_pace.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/workload/estimate_errors.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

TEST_CASE("A run's pace is that of its newest and of its fastest window", "[pace]") {
    run_pace pace;
    time_point now{5s};
    pace.sample(0, now);
    CHECK_FALSE(pace.known());
    for (std::uint32_t percent = 10; percent <= 40; percent += 10) {
        now += 500ms;
        pace.sample(percent, now);
    }
    CHECK(pace.best() == Approx(20));
    CHECK(pace.current() == Approx(20));
    for (std::uint32_t percent = 41; percent <= 44; ++percent) {
        now += 500ms;
        pace.sample(percent, now);
    }
    CHECK(pace.best() == Approx(20));
    CHECK(pace.current() < 5);
}

TEST_CASE("A window of a long run lasts until it shows some percent", "[pace]") {
    run_pace pace;
    time_point now{5s};
    for (std::uint32_t percent = 0; percent < 10; ++percent) {
        for (int sample = 0; sample < 20; ++sample) {
            pace.sample(percent, now);
            now += 500ms;
        }
    }
    CHECK(pace.best() == Approx(0.1).epsilon(0.1));
    CHECK(pace.current() == Approx(0.1).epsilon(0.1));
}

TEST_CASE("A percentage that is told twice is one sample", "[pace]") {
    run_pace pace;
    const time_point now{5s};
    pace.sample(10, now);
    pace.sample(30, now + 1s);
    for (int again = 0; again < 50; ++again) {
        pace.sample(30, now + 1s);
    }
    CHECK(pace.current() == Approx(20));
    CHECK_FALSE(pace.is_fresh());
}

TEST_CASE("What was not watched says nothing about a run's pace", "[pace]") {
    run_pace pace;
    time_point now{5s};
    pace.sample(10, now);
    pace.sample(30, now + 1s);
    pace.restart(now + 9s);
    CHECK(pace.unchanged_since() == now + 9s);
    pace.sample(50, now + 10s);
    CHECK(pace.current() == Approx(20));
}

TEST_CASE("Few runs of a queue exceed the factor that its earlier runs tell", "[pace]") {
    estimate_errors errors;
    const queue_id good{"good"};
    const queue_id bad{"bad"};
    CHECK_FALSE(errors.longest_factor(good));
    for (int run = 0; run < 12; ++run) {
        errors.add(good, 1s, run % 2 == 0 ? 900ms : 1100ms);
        errors.add(bad, 1s, run % 2 == 0 ? 300ms : 3000ms);
    }
    CHECK(*errors.longest_factor(good) < 1.7);
    CHECK(*errors.longest_factor(bad) > 10);
}
