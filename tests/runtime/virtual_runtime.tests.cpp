#include "baobabrack/runtime/virtual_runtime.hpp"

#include <catch2/catch.hpp>
#include <vector>

using namespace baobabrack;
using namespace std::chrono_literals;

TEST_CASE("Events run in order of due time, then in order of scheduling", "[runtime]") {
    virtual_runtime loop(1);
    std::vector<int> order;
    loop.schedule(2ms, [&] { order.push_back(3); });
    loop.schedule(1ms, [&] { order.push_back(1); });
    loop.schedule(1ms, [&] { order.push_back(2); });

    SECTION("all run") {
        loop.run_for(5ms);
        CHECK(order == std::vector<int>{1, 2, 3});
        CHECK(loop.now() == time_point{5ms});
    }
    SECTION("time stops at the end of the span") {
        loop.run_for(1ms);
        CHECK(order == std::vector<int>{1, 2});
        CHECK(loop.pending() == 1);
    }
}

TEST_CASE("A cancelled event does not run", "[runtime]") {
    virtual_runtime loop(1);
    bool ran = false;
    const auto timer = loop.schedule(1ms, [&] { ran = true; });
    loop.cancel(timer);
    loop.run_for(2ms);
    CHECK_FALSE(ran);
}
