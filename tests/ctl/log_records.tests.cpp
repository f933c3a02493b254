#include "baobabrack/ctl/log_records.hpp"

#include <catch2/catch.hpp>

using namespace baobabrack::ctl;
using namespace std::chrono_literals;

// Guards against times that are off by a power of ten, which would change every figure.
TEST_CASE("Times of log lines are parsed to the microsecond", "[log-records]") {
    const auto second = parse_log_time("2026-10-27T01:16:35Z");
    REQUIRE(second);
    CHECK(second->time_since_epoch() == 1'793'063'795s);
    CHECK(parse_log_time("2026-10-27T01:16:35.000012Z") == *second + 12us);
    CHECK(parse_log_time("2026-10-27T01:16:35.5Z") == *second + 500ms);
    CHECK(parse_log_time("2026-10-27T01:16:35.123456789Z") == *second + 123'456us);
    for (const auto* text :
         {"", "Z", "2026-10-27T01:16:35", "2026-13-27T01:16:35Z", "2026-02-30T01:16:35Z",
          "2026-10-27 01:16:35Z", "2026-10-27T01:16:35.-1Z", "2026-10-27T01:16:35,1Z"}) {
        CHECK(parse_log_time(text) == std::nullopt);
    }
}

// Guards against one damaged line that makes the whole log unreadable.
TEST_CASE("A log line is read with or without a prefix, and damaged lines are skipped",
          "[log-records]") {
    const auto record = parse_log_line(
        R"( -13.9 s1 {"time":"2026-10-27T01:16:35Z","level":"info","role":"scheduler","id":"s1",)"
        R"("event":"run-ended","run":7,"slack":2.5,"reason":"done"})");
    REQUIRE(record);
    CHECK(record->role == "scheduler");
    CHECK(record->process == "s1");
    CHECK(record->event == "run-ended");
    CHECK(record->text("reason") == "done");
    CHECK(record->text("missing").empty());
    CHECK(record->number("run") == 7);
    CHECK(record->number("reason") == std::nullopt);
    CHECK(record->number("slack") == std::nullopt);
    CHECK(record->decimal("slack") == 2.5);
    CHECK(record->decimal("reason") == std::nullopt);
    for (const auto* line :
         {"", "no object", "{", R"({"time":"2026-10-27T01:16:35Z"})", R"({"event":"started"})",
          R"({"time":5,"event":"started"})", R"([{"time":"2026-10-27T01:16:35Z"}])"}) {
        CHECK_FALSE(parse_log_line(line));
    }
}
