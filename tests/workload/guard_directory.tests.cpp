#include "baobabrack/workload/guard_directory.hpp"

#include <catch2/catch.hpp>

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

TEST_CASE("Guard endpoints that one leader stores are read by another", "[guards]") {
    guard_directory first;
    first.begin_term(time_point{1s});
    first.record_contact("h1", "tcp://1", time_point{2s});
    first.record_contact("h2", "tcp://2", time_point{2s});
    const auto records = first.drain_changes(time_point{2s});
    REQUIRE(records.size() == 2);
    CHECK(first.drain_changes(time_point{3s}).empty());

    guard_directory second;
    std::uint64_t offset = 0;
    for (const auto& record : records) {
        CHECK(second.apply(record.key, record.value, log_offset{offset++}));
    }
    CHECK(second.endpoints() == first.endpoints());
    CHECK_FALSE(second.apply("progress/j", "x", log_offset{9}));
}

TEST_CASE("An outdated guard record is ignored", "[guards]") {
    guard_directory writer;
    guard_directory reader;
    writer.record_contact("h1", "tcp://old", {});
    const auto outdated = writer.drain_changes({});
    writer.record_contact("h1", "tcp://new", {});
    const auto newer = writer.drain_changes({});
    reader.apply(newer[0].key, newer[0].value, log_offset{7});
    reader.apply(outdated[0].key, outdated[0].value, log_offset{3});
    CHECK(reader.endpoints().at("h1") == "tcp://new");
}

TEST_CASE("A guard that does not report is removed after a timeout", "[guards]") {
    guard_directory guards;
    guards.record_contact("h1", "tcp://1", time_point{1s});
    guards.drain_changes(time_point{1s});
    guards.begin_term(time_point{500s});
    CHECK(guards.drain_changes(time_point{510s}).empty());
    const auto records = guards.drain_changes(time_point{600s});
    REQUIRE(records.size() == 1);
    CHECK(records[0].value.empty());
    CHECK(guards.endpoints().empty());
}
