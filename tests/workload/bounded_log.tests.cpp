#include "baobabrack/workload/bounded_log.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/runtime/virtual_runtime.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

// A client that is rejected thousands of times a second would fill the log.
TEST_CASE("A flood of lines is cut to the limit and one summary a second", "[bounded_log]") {
    virtual_runtime loop(1);
    bounded_log log(loop, {.topic = "calls", .lines_per_second = 10});
    std::uint64_t written = 0;
    for (int step = 0; step < 500; ++step) {
        for (int line = 0; line < 5; ++line) {
            written += log.allow() ? 1 : 0;
        }
        loop.run_for(10ms);
    }
    CHECK(written >= 50);
    CHECK(written <= 60);
    CHECK(log.omitted() == 2500 - written);
    CHECK(log.summaries() <= 5);
    loop.run_for(2s);
    CHECK(log.summaries() >= 4);
    CHECK(log.summaries() <= 6);
    CHECK(log.allow());
}

TEST_CASE("Lines below the limit are all written, without a summary", "[bounded_log]") {
    virtual_runtime loop(1);
    bounded_log log(loop, {.topic = "calls", .lines_per_second = 10});
    for (int step = 0; step < 100; ++step) {
        CHECK(log.allow());
        loop.run_for(101ms);
    }
    loop.run_for(2s);
    CHECK(log.omitted() == 0);
    CHECK(log.summaries() == 0);
}
