#include "baobabrack/workload/progress_rate.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/workload/estimate_errors.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

TEST_CASE("A run's pace is that of its newest and of its fastest window", "[pace]") {
    progress_rate pace;
    time_point now{5s};
    pace.add_sample(0, now);
    CHECK_FALSE(pace.has_measurement());
    for (std::uint32_t percent = 10; percent <= 40; percent += 10) {
        now += 500ms;
        pace.add_sample(percent, now);
    }
    CHECK(pace.fastest() == Approx(20));
    CHECK(pace.current() == Approx(20));
    for (std::uint32_t percent = 41; percent <= 44; ++percent) {
        now += 500ms;
        pace.add_sample(percent, now);
    }
    CHECK(pace.fastest() == Approx(20));
    CHECK(pace.current() < 5);
}

TEST_CASE("A window of a long run lasts until it shows some percent", "[pace]") {
    progress_rate pace;
    time_point now{5s};
    for (std::uint32_t percent = 0; percent < 10; ++percent) {
        for (int sample = 0; sample < 20; ++sample) {
            pace.add_sample(percent, now);
            now += 500ms;
        }
    }
    CHECK(pace.fastest() == Approx(0.1).epsilon(0.1));
    CHECK(pace.current() == Approx(0.1).epsilon(0.1));
}

TEST_CASE("A percentage that is told twice is one sample", "[pace]") {
    progress_rate pace;
    const time_point now{5s};
    pace.add_sample(10, now);
    pace.add_sample(30, now + 1s);
    for (int again = 0; again < 50; ++again) {
        pace.add_sample(30, now + 1s);
    }
    CHECK(pace.current() == Approx(20));
    CHECK_FALSE(pace.has_new_window());
}

TEST_CASE("What was not watched says nothing about a run's pace", "[pace]") {
    progress_rate pace;
    time_point now{5s};
    pace.add_sample(10, now);
    pace.add_sample(30, now + 1s);
    pace.restart(now + 9s);
    CHECK(pace.unchanged_since() == now + 9s);
    pace.add_sample(50, now + 10s);
    CHECK(pace.current() == Approx(20));
}

TEST_CASE("Few runs of a queue exceed the factor that its earlier runs tell", "[pace]") {
    estimate_errors errors;
    const queue_id good{"good"};
    const queue_id bad{"bad"};
    CHECK_FALSE(errors.upper_factor(good));
    for (int run = 0; run < 12; ++run) {
        errors.add(good, 1s, run % 2 == 0 ? 900ms : 1100ms);
        errors.add(bad, 1s, run % 2 == 0 ? 300ms : 3000ms);
    }
    CHECK(*errors.upper_factor(good) < 1.7);
    CHECK(*errors.upper_factor(bad) > 10);
}
