#include "baobabrack/ctl/submitted_job.hpp"

#include <catch2/catch.hpp>

using namespace baobabrack::ctl;
using namespace std::chrono_literals;

// Guards against core-seconds and waits that are computed from another step's needs.
TEST_CASE("The steps of a job are read from the text in its line", "[submitted-job]") {
    const auto steps = parse_steps(
        "5x2acc/26000m/68000MiB/2663ms gang rack_local checkpoints, 7x0acc/500m/100MiB/10ms "
        "data:r1 apart:2 long_running after:none, 1x1acc/0m/1MiB/1ms after:0+1+9");
    REQUIRE(steps);
    REQUIRE(steps->size() == 3);
    const auto& first = steps->front();
    CHECK(first.tasks == 5);
    CHECK(first.accelerators == 2);
    CHECK(first.cores() == Approx(42));
    CHECK(first.gang);
    CHECK(first.checkpoints);
    CHECK_FALSE(first.long_running);
    CHECK((*steps)[1].long_running);
    CHECK((*steps)[1].after.empty());
    // A step cannot depend on one that is not before it.
    CHECK((*steps)[2].after == std::vector<std::size_t>{0, 1});
}

// Guards against waits of a second step that are counted from the submission in older logs.
TEST_CASE("A later step without its dependencies depends on the step before", "[submitted-job]") {
    const auto steps = parse_steps("1x1acc/1m/1MiB/1ms, 1x1acc/1m/1MiB/1ms, 1x1acc/1m/1MiB/1ms");
    REQUIRE(steps);
    CHECK(steps->at(0).after.empty());
    CHECK(steps->at(2).after == std::vector<std::size_t>{1});
}

TEST_CASE("Steps that cannot be read are nothing", "[submitted-job]") {
    for (const auto* text : {"", "x", "5x1acc", "-5x1acc/1m/1MiB/1ms", "5x1acc/1/1MiB/1ms",
                             "99999999999999999999x1acc/1m/1MiB/1ms", "1000000x1acc/1m/1MiB/1ms",
                             "1x1acc/1m/1MiB/1ms, "}) {
        CHECK_FALSE(parse_steps(text));
    }
}

// Guards against a repeated job that counts as late, as its occurrences are due over hours.
TEST_CASE("The objective of a job is its allowed time, and a repeated job has none",
          "[submitted-job]") {
    log_record record{.event = "job-submitted",
                      .fields = {{"steps", "1x1acc/1m/1MiB/2000ms"},
                                 {"chain_ms", "2000"},
                                 {"completion_target_ms", "1200"},
                                 {"slack", "2.5"}}};
    CHECK(parse_submitted_job(record).objective == 6200ms);
    record.fields["occurrences"] = "3";
    record.fields["first_due_ms"] = "1793063795000";
    record.fields["interval_ms"] = "500";
    const auto repeated = parse_submitted_job(record);
    CHECK(repeated.objective == std::nullopt);
    CHECK(repeated.first_due == log_time{1'793'063'795s});
    CHECK(repeated.interval == 500ms);
}

TEST_CASE("The name of a task is read from its end, as a job's id may have dots",
          "[submitted-job]") {
    const auto task = parse_task("a.b.1.2.3");
    REQUIRE(task);
    CHECK(task->job == "a.b");
    CHECK(task->occurrence == 1);
    CHECK(task->step == 2);
    CHECK(task->index == 3);
    CHECK_FALSE(parse_task("1.2.3"));
    CHECK_FALSE(parse_task("a.1.2.x"));
    CHECK_FALSE(parse_task(""));
}
