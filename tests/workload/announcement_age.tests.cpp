#include "baobabrack/workload/announcement_age.hpp"

#include <catch2/catch.hpp>

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

namespace {

constexpr time_point now{100s};

}  // namespace

TEST_CASE("An announcement ages from when the worker made it", "[announcement_age]") {
    announcement_age age;
    age.record_announcement(worker_time{5000}, now);
    CHECK(age.value(now) == 0s);
    CHECK(age.value(now + 700ms) == 700ms);
    age.record_clock(worker_time{6000}, now + 1s);
    CHECK(age.value(now + 1s) == 1s);
    age.record_announcement(worker_time{6200}, now + 1200ms);
    CHECK(age.value(now + 1200ms) < 10ms);
}

TEST_CASE("An announcement that was under way for seconds is that old", "[announcement_age]") {
    announcement_age age;
    age.record_announcement(worker_time{5000}, now);
    SECTION("as a newer reading of the clock shows") {
        age.record_clock(worker_time{9000}, now + 4s);
    }
    // Both were sent before a pause of the process and arrive after it, so only the clock of
    // before tells.
    SECTION("as an older reading shows, if the newer one was under way as long") {
        age.record_clock(worker_time{5400}, now + 4s);
    }
    age.record_announcement(worker_time{5500}, now + 4s);
    CHECK(age.value(now + 4s) > 3300ms);
    CHECK(age.value(now + 4s) <= 3500ms);
}

TEST_CASE("Drift of the clocks does not add up to an age", "[announcement_age]") {
    announcement_age age;
    // The worker's clock runs slow by 2%, and readings come every 20 ms.
    for (int reading = 0; reading < 50'000; ++reading) {
        const auto at = now + reading * 20ms;
        const worker_time clock{static_cast<std::int64_t>(reading * 19.6)};
        if (reading % 50 == 0) {
            age.record_announcement(clock, at);
            CHECK(age.value(at) < 10ms);
        }
        age.record_clock(clock, at);
    }
}

TEST_CASE("Without a clock, an announcement ages from its arrival", "[announcement_age]") {
    announcement_age age;
    CHECK(age.value(now) == duration::max());
    age.record_announcement(std::nullopt, now);
    CHECK(age.value(now + 2s) == 2s);
    age.record_clock(worker_time{9000}, now + 2s);
    CHECK(age.value(now + 2s) == 2s);
    age.reset();
    CHECK(age.value(now + 2s) == duration::max());
}
