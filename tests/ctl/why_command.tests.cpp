#include "baobabrack/ctl/why_command.hpp"

#include <catch2/catch.hpp>

using namespace baobabrack::ctl;

TEST_CASE("The events of a job are read from all logs in order of time", "[why]") {
    const std::vector<std::string> logs{
        R"(  5.1 s2 {"time":"2026-01-01T00:00:02Z","id":"s2","event":"run-assigned","job":"j","run":1})"
        "\n"
        R"({"time":"2026-01-01T00:00:09Z","id":"s2","event":"run-assigned","job":"other"})",
        R"({"time":"2026-01-01T00:00:01Z","id":"s1","event":"append-failed","key":"job/j","try":1})"
        "\nnot JSON\n{\"time\":\n"};
    const auto events = read_job_events(logs, "j");
    REQUIRE(events.size() == 2);
    CHECK(events[0].name == "append-failed");
    CHECK(events[0].process == "s1");
    CHECK(events[1].name == "run-assigned");
    CHECK(events[1].fields == std::vector<std::string>{"run 1"});
}
