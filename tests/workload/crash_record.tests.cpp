#include "baobabrack/workload/crash_record.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/workload.pb.h"
#include "baobabrack/workload/job_progress.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

namespace {

crash_circumstances on(const std::string& host, crash_scope scope = crash_scope::single) {
    return {.host = host_id{host}, .scope = scope};
}

crashed_run trial_run(duration run_time) {
    return {.on_trial = true, .run_time = run_time};
}

void record_crash(crash_record& record, const crashed_run& run, bool suspect,
                  const crash_circumstances& crash) {
    note_crash(record);
    count_crash(record, run, suspect, crash);
}

}  // namespace

TEST_CASE("The suspects of a crash are the runs on trial, then the young ones, then all",
          "[crash_record]") {
    const crashed_run settled{.run_time = 5s};
    const crashed_run young{.run_time = 100ms};
    CHECK(find_suspects({settled, young, trial_run(2s)}, on("h")) == std::vector<std::size_t>{2});
    CHECK(find_suspects({settled, young}, on("h")) == std::vector<std::size_t>{1});
    CHECK(find_suspects({settled, settled}, on("h")) == std::vector<std::size_t>{0, 1});
}

TEST_CASE("Nothing is suspected when several workers crash together", "[crash_record]") {
    const crashed_run young{.run_time = 100ms};
    CHECK(find_suspects({young, trial_run(0ms)}, on("h", crash_scope::several)).empty());
}

TEST_CASE("A suspect that was young gets a trial, and others when they are hit again after as long",
          "[crash_record]") {
    crash_record young;
    record_crash(young, {.run_time = 200ms}, true, on("h"));
    CHECK(young.trial > 1s);
    crash_record settled;
    record_crash(settled, {.run_time = 5s}, true, on("h"));
    CHECK(settled.trial == duration::zero());
    record_crash(settled, {.run_time = 9s}, true, on("h"));
    CHECK(settled.trial == duration::zero());
    record_crash(settled, {.run_time = 9s}, true, on("h"));
    CHECK(settled.trial > 9s);
    crash_record bystander;
    record_crash(bystander, {.run_time = 200ms}, false, on("h"));
    CHECK(bystander.trial == duration::zero());
}

TEST_CASE("Two trials on different hosts that end in the same crash are proof", "[crash_record]") {
    crash_record record;
    record_crash(record, {.run_time = 0ms}, true, on("h1"));
    record_crash(record, trial_run(0ms), true, on("h2"));
    CHECK_FALSE(crashes_workers(record));
    record_crash(record, trial_run(300ms), true, on("h3"));
    CHECK(crashes_workers(record));
}

TEST_CASE("Trials on one host, or beside crashes by other causes, need a third crash",
          "[crash_record]") {
    crash_record record;
    auto crash = on("h1");
    SECTION("one host") {
    }
    SECTION("other causes") {
        crash.other_causes = true;
        record.last_host = host_id{"h2"};
    }
    record_crash(record, {.run_time = 0ms}, true, crash);
    record_crash(record, trial_run(0ms), true, crash);
    record_crash(record, trial_run(0ms), true, crash);
    CHECK_FALSE(crashes_workers(record));
    record_crash(record, trial_run(0ms), true, crash);
    CHECK(crashes_workers(record));
}

TEST_CASE("Crashes at different times of a run are no proof before the fifth", "[crash_record]") {
    crash_record record;
    const std::vector<duration> run_times{4s, 1s, 3s, 0ms, 6s};
    for (std::size_t crash = 0; crash < run_times.size(); ++crash) {
        CHECK_FALSE(crashes_workers(record));
        record_crash(record, {.on_trial = crash > 0, .run_time = run_times[crash]}, true,
                     on("h" + std::to_string(crash)));
    }
    CHECK(crashes_workers(record));
}

TEST_CASE("A crash of a worker that may have been down before the start is no repetition",
          "[crash_record]") {
    crash_record record;
    record_crash(record, {.run_time = 0ms}, true, on("h1"));
    record_crash(record, {.on_trial = true, .begun = false}, true, on("h2"));
    CHECK(record.trial_crashes == 1);
    CHECK(record.repeated_crashes == 0);
}

TEST_CASE(
    "The fourth early crash is the last, and the second orders a trial, whatever else crashes",
    "[crash_record]") {
    crash_record record;
    for (std::uint32_t crash = 1; crash <= 4; ++crash) {
        CHECK_FALSE(crashes_workers(record));
        record_crash(record, {.run_time = 0ms}, false, on("h", crash_scope::several));
        CHECK(record.early_crashes == crash);
        CHECK((record.trial > duration::zero()) == (crash >= 2));
    }
    CHECK(crashes_workers(record));
}

TEST_CASE("The fifth crash is the last although the runs had settled and other workers crashed",
          "[crash_record]") {
    crash_record record;
    for (int crash = 1; crash <= 5; ++crash) {
        CHECK_FALSE(crashes_workers(record));
        record_crash(record, {.run_time = 3s}, false, on("h", crash_scope::several));
    }
    CHECK(crashes_workers(record));
}

TEST_CASE("A crash that is excused or not judged yet leaves room for one start less",
          "[crash_record]") {
    crash_record record;
    for (int crash = 1; crash <= 10; ++crash) {
        note_crash(record);
    }
    CHECK(record.excused_crashes == 10);
    CHECK_FALSE(crashes_workers(record));
    for (int crash = 1; crash <= 3; ++crash) {
        CHECK_FALSE(crashes_workers(record));
        record_crash(record, {.run_time = 3s}, false, on("h", crash_scope::several));
    }
    CHECK(record.excused_crashes == 10);
    CHECK(crashes_workers(record));
}

// A task that crashes its workers late always has younger runs beside it.
TEST_CASE("Only the first crash under a task is excused because younger runs are suspected",
          "[crash_record]") {
    crash_record record;
    note_crash(record);
    REQUIRE(excuse_crash(record, {.run_time = 3s}, on("h1")));
    CHECK(record.trial == duration::zero());
    note_crash(record);
    REQUIRE_FALSE(excuse_crash(record, {.run_time = 3s}, on("h2")));
    count_crash(record, {.run_time = 3s}, false, on("h2"));
    CHECK(record.trial > 3s);
    record_crash(record, trial_run(3s), true, on("h3"));
    CHECK_FALSE(crashes_workers(record));
    record_crash(record, trial_run(3s), true, on("h4"));
    CHECK(crashes_workers(record));
}

TEST_CASE("A task is given up at its fifth crash although younger runs were beside it each time",
          "[crash_record]") {
    crash_record record;
    for (int crash = 1; crash <= 5; ++crash) {
        CHECK_FALSE(crashes_workers(record));
        const crashed_run run{.run_time = std::chrono::seconds{2 + crash * 3}};
        note_crash(record);
        if (!excuse_crash(record, run, on("h"))) {
            count_crash(record, run, false, on("h"));
        }
    }
    CHECK(crashes_workers(record));
}

TEST_CASE("A run that lasts long enough outlives the record", "[crash_record]") {
    crash_record record;
    record_crash(record, {.run_time = 0ms}, true, on("h1"));
    CHECK_FALSE(outlives_record(record, 20s, false));
    CHECK(outlives_record(record, 40s, false));
}

TEST_CASE("A run outlives the record only once it has lasted longer than at the latest crash",
          "[crash_record]") {
    crash_record record;
    record_crash(record, {.run_time = 50s}, true, on("h1"));
    CHECK_FALSE(outlives_record(record, 50s, false));
    CHECK(outlives_record(record, 60s, false));
    // Crashes under a task that serves for days come by chance.
    CHECK(outlives_record(record, 50s, true));
}

TEST_CASE("The record of crashes is stored with the progress of the job", "[crash_record]") {
    job_spec spec;
    spec.steps.push_back({.tasks = 2});
    job_progress progress;
    progress.occurrences.push_back(new_occurrence(spec, 0));
    auto& record = progress.occurrences.front().steps.front()[1].crashes;
    record = {.crashes = 4,
              .early_crashes = 2,
              .excused_crashes = 1,
              .trial_crashes = 3,
              .repeated_crashes = 2,
              .on_several_hosts = true,
              .last_host = host_id{"h"},
              .last_run_time = 250ms,
              .other_causes = true,
              .trial = 1750ms};
    const auto read = from_wire(spec, to_wire(progress));
    CHECK(read.occurrences.front().steps.front()[0].crashes == crash_record{});
    CHECK(read.occurrences.front().steps.front()[1].crashes == record);
}
