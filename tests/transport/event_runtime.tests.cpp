#include "baobabrack/transport/event_runtime.hpp"

#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <string>
#include <vector>

namespace baobabrack {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t seed = 1;

TEST_CASE("timers fire in the order of their due times", "[runtime]") {
    event_runtime loop{seed};
    std::string order;
    loop.schedule(20ms, [&] { loop.stop(); });
    loop.schedule(10ms, [&] { order += 'c'; });
    loop.schedule(0ms, [&] { order += 'a'; });
    loop.schedule(-5s, [&] { order += 'b'; });
    const auto cancelled = loop.schedule(1ms, [&] { order += 'x'; });
    loop.cancel(cancelled);
    loop.cancel(cancelled);
    loop.run();
    CHECK(order == "abc");
}

TEST_CASE("an action without delay that a timer schedules runs in the next iteration",
          "[runtime]") {
    event_runtime loop{seed};
    std::vector<int> order;
    loop.schedule(0ms, [&] {
        loop.schedule(0ms, [&] {
            order.push_back(3);
            loop.stop();
        });
        order.push_back(1);
    });
    loop.schedule(0ms, [&] { order.push_back(2); });
    loop.run();
    CHECK(order == std::vector<int>{1, 2, 3});
}

TEST_CASE("a timer can cancel another due timer", "[runtime]") {
    event_runtime loop{seed};
    bool fired = false;
    timer_id second = timer_id::none;
    loop.schedule(0ms, [&] { loop.cancel(second); });
    second = loop.schedule(0ms, [&] { fired = true; });
    loop.schedule(1ms, [&] { loop.stop(); });
    loop.run();
    CHECK_FALSE(fired);
}

TEST_CASE("a signal runs its action from the event loop", "[runtime]") {
    event_runtime loop{seed};
    int signals = 0;
    loop.on_signal(SIGTERM, [&] {
        ++signals;
        loop.stop();
    });
    loop.schedule(0ms, [] { std::raise(SIGTERM); });
    loop.run();
    CHECK(signals == 1);
}

// Guards against a client that ends the process by closing its connection.
TEST_CASE("a write to a closed connection does not end the process", "[runtime]") {
    const event_runtime loop{seed};
    std::array<int, 2> ends{};
    REQUIRE(socketpair(AF_UNIX, SOCK_STREAM, 0, ends.data()) == 0);
    const file_descriptor open_end{ends[0]};
    close(ends[1]);
    CHECK(write(open_end.get(), "x", 1) == -1);
}

TEST_CASE("the same seed gives the same random numbers", "[runtime]") {
    event_runtime first{seed};
    event_runtime second{seed};
    CHECK(first.random() == second.random());
}

}  // namespace
}  // namespace baobabrack
