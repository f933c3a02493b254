#include "baobabrack/workload/guard_directory.hpp"

#include <catch2/catch.hpp>

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

TEST_CASE("What one leader stores of the guards another one reads", "[guards]") {
    guard_directory first;
    first.begin(time_point{1s});
    first.heard("h1", "tcp://1", time_point{2s});
    first.heard("h2", "tcp://2", time_point{2s});
    const auto records = first.take_changes(time_point{2s});
    REQUIRE(records.size() == 2);
    CHECK(first.take_changes(time_point{3s}).empty());

    guard_directory second;
    std::uint64_t offset = 0;
    for (const auto& record : records) {
        CHECK(second.take(record.key, record.value, log_offset{offset++}));
    }
    CHECK(second.endpoints() == first.endpoints());
    CHECK_FALSE(second.take("progress/j", "x", log_offset{9}));
}

TEST_CASE("An older record of a guard changes nothing", "[guards]") {
    guard_directory writer;
    guard_directory reader;
    writer.heard("h1", "tcp://old", {});
    const auto old = writer.take_changes({});
    writer.heard("h1", "tcp://new", {});
    const auto newer = writer.take_changes({});
    reader.take(newer[0].key, newer[0].value, log_offset{7});
    reader.take(old[0].key, old[0].value, log_offset{3});
    CHECK(reader.endpoints().at("h1") == "tcp://new");
}

TEST_CASE("A guard that a leader has not heard for long is dropped", "[guards]") {
    guard_directory guards;
    guards.heard("h1", "tcp://1", time_point{1s});
    guards.take_changes(time_point{1s});
    guards.begin(time_point{500s});
    CHECK(guards.take_changes(time_point{510s}).empty());
    const auto records = guards.take_changes(time_point{600s});
    REQUIRE(records.size() == 1);
    CHECK(records[0].value.empty());
    CHECK(guards.endpoints().empty());
}
