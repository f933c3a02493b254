#include "baobabrack/transport/connection_policy.hpp"

#include <catch2/catch.hpp>

namespace baobabrack {
namespace {

using namespace std::chrono_literals;
using connection_policy::choose_idle;
using connection_policy::idle_connection;
using connection_policy::scale;
using connection_policy::time_limits;
using indices = std::vector<std::size_t>;

TEST_CASE("time limits shrink from half of the capacity on", "[connections]") {
    const time_limits configured{.receive = 30s, .send = 13s, .stall = 31s};
    CHECK(scale(configured, 0.5).receive == 30s);
    const auto between = scale(configured, 0.75);
    CHECK(between.receive == 16500ms);
    CHECK(between.send == 8s);
    CHECK(between.stall == 16s);
    for (const auto use : {1.0, 1.5}) {
        const auto full = scale(configured, use);
        CHECK(full.receive == 3s);
        CHECK(full.send == 3s);
        CHECK(full.stall == 1s);
    }
    CHECK(scale({.receive = 2s, .send = 2s, .stall = 500ms}, 1).receive == 2s);
    CHECK(scale({.receive = 2s, .send = 2s, .stall = 500ms}, 1).stall == 500ms);
}

TEST_CASE("all connections that have sent nothing are closed for others", "[connections]") {
    std::vector<idle_connection> idle;
    for (std::size_t i = 0; i < 10; ++i) {
        idle.push_back({.index = i, .address_connections = 20, .idle_time = 300ms, .used = false});
    }
    idle.push_back({.index = 10, .address_connections = 20, .idle_time = 100ms, .used = false});
    idle.push_back({.index = 11, .address_connections = 20, .idle_time = 9s, .used = true});
    CHECK(choose_idle(idle, 20).size() == 10);
}

TEST_CASE("idle connections of the largest client are closed first", "[connections]") {
    const std::vector<idle_connection> idle{
        {.index = 0, .address_connections = 1, .idle_time = 20s, .used = true},
        {.index = 1, .address_connections = 9, .idle_time = 2s, .used = true},
        {.index = 2, .address_connections = 9, .idle_time = 5s, .used = true},
        {.index = 3, .address_connections = 9, .idle_time = 900ms, .used = true},
    };
    CHECK(choose_idle(idle, 10) == indices{2, 1});
    CHECK(choose_idle(idle, 40) == indices{2, 1, 0});
    CHECK(choose_idle({}, 40).empty());
}

}  // namespace
}  // namespace baobabrack
