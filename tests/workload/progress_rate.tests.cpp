#include "baobabrack/workload/progress_rate.hpp"

#include <catch2/catch.hpp>

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

TEST_CASE("The progress rate is measured over the latest and the fastest window",
          "[progress_rate]") {
    progress_rate rate;
    time_point now{5s};
    rate.add_sample(0, now);
    CHECK_FALSE(rate.has_measurement());
    for (std::uint32_t percent = 10; percent <= 40; percent += 10) {
        now += 500ms;
        rate.add_sample(percent, now);
    }
    CHECK(rate.fastest() == Approx(20));
    CHECK(rate.current() == Approx(20));
    for (std::uint32_t percent = 41; percent <= 44; ++percent) {
        now += 500ms;
        rate.add_sample(percent, now);
    }
    CHECK(rate.fastest() == Approx(20));
    CHECK(rate.current() < 5);
}

TEST_CASE("A window of a long run lasts until it covers several percent", "[progress_rate]") {
    progress_rate rate;
    time_point now{5s};
    for (std::uint32_t percent = 0; percent < 10; ++percent) {
        for (int sample = 0; sample < 20; ++sample) {
            rate.add_sample(percent, now);
            now += 500ms;
        }
    }
    CHECK(rate.fastest() == Approx(0.1).epsilon(0.1));
    CHECK(rate.current() == Approx(0.1).epsilon(0.1));
}

TEST_CASE("A percentage that is reported twice is one sample", "[progress_rate]") {
    progress_rate rate;
    const time_point now{5s};
    rate.add_sample(10, now);
    rate.add_sample(30, now + 1s);
    for (int again = 0; again < 50; ++again) {
        rate.add_sample(30, now + 1s);
    }
    CHECK(rate.current() == Approx(20));
    CHECK_FALSE(rate.has_new_window());
}

TEST_CASE("Time without observation does not change the progress rate", "[progress_rate]") {
    progress_rate rate;
    time_point now{5s};
    rate.add_sample(10, now);
    rate.add_sample(30, now + 1s);
    rate.restart(now + 9s);
    CHECK(rate.unchanged_since() == now + 9s);
    rate.add_sample(50, now + 10s);
    CHECK(rate.current() == Approx(20));
}

// A run that had gone on after a long pause was stopped during the next pause of that length.
TEST_CASE("The longest pause that ended with progress is known", "[progress_rate]") {
    progress_rate rate;
    const time_point start{100s};
    rate.restart(start);
    CHECK(rate.longest_pause() == duration::zero());
    rate.add_sample(0, start + 8s);
    CHECK(rate.longest_pause() == duration::zero());
    rate.add_sample(1, start + 9s);
    rate.add_sample(2, start + 12s);
    rate.add_sample(2, start + 60s);
    CHECK(rate.longest_pause() == 9s);
    // A time in which the run was not observed is no pause.
    rate.restart(start + 100s);
    rate.add_sample(3, start + 101s);
    CHECK(rate.longest_pause() == 9s);
}
