#include "baobabrack/workload/job_table.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/workload.pb.h"
#include "workload/simulated_cluster.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

std::string record_of(const job_spec& spec) {
    return to_wire(spec).SerializeAsString();
}

}  // namespace

TEST_CASE("A repeated submission does not change the job", "[job_table]") {
    job_table table;
    auto repeated = job_of("j", 5, 1);
    CHECK(table.apply_intake("job/j", record_of(job_of("j", 2, 1)), log_offset{3}) == job_id{"j"});
    CHECK(table.apply_intake("job/j", record_of(repeated), log_offset{4}) == job_id{});
    CHECK(table.find(job_id{"j"})->spec.steps.front().tasks == 2);
}

TEST_CASE("Progress and cancel records may be applied before their job", "[job_table]") {
    job_table table;
    job_progress progress{.phase = job_phase::active, .occurrences = {}, .ended = {}};
    table.apply_progress("progress/j", to_wire(progress).SerializeAsString(), log_offset{1});
    wire::WorkloadCancel cancel;
    cancel.set_cancelled_unix_ms(1);
    table.apply_intake("cancel/j", cancel.SerializeAsString(), log_offset{1});
    table.apply_intake("job/j", record_of(job_of("j", 1, 1)), log_offset{2});
    REQUIRE(table.find(job_id{"j"}) != nullptr);
    CHECK(table.find(job_id{"j"})->progress.phase == job_phase::active);
    CHECK(job_table::visible_phase(*table.find(job_id{"j"})) == job_phase::cancelled);
}

TEST_CASE("A record with an older offset is ignored", "[job_table]") {
    job_table table;
    table.apply_intake("job/j", record_of(job_of("j", 1, 1)), log_offset{1});
    job_progress ended{.phase = job_phase::completed, .occurrences = {}, .ended = {}};
    job_progress active{.phase = job_phase::active, .occurrences = {}, .ended = {}};
    table.apply_progress("progress/j", to_wire(ended).SerializeAsString(), log_offset{9});
    table.apply_progress("progress/j", to_wire(active).SerializeAsString(), log_offset{8});
    CHECK(table.find(job_id{"j"})->progress.phase == job_phase::completed);
}

TEST_CASE("Records that cannot be parsed are counted and ignored", "[job_table]") {
    job_table table;
    table.apply_intake("job/j", "\xff\xff\xff", log_offset{1});
    table.apply_intake("what/ever", "x", log_offset{2});
    table.apply_intake("job/k", record_of(job_of("other", 1, 1)), log_offset{3});
    CHECK(table.unreadable_records() == 3);
    CHECK(table.jobs().empty());
}

TEST_CASE("Progress with an unknown state is counted and leaves the job as it was", "[job_table]") {
    job_table table;
    table.apply_intake("job/j", record_of(job_of("j", 1, 1)), log_offset{1});
    wire::WorkloadProgress record;
    record.set_state(static_cast<wire::WorkloadProgress::State>(77));
    table.apply_progress("progress/j", record.SerializeAsString(), log_offset{2});
    CHECK(table.unreadable_records() == 1);
    CHECK(table.find(job_id{"j"})->progress.phase == job_phase::queued);
}

TEST_CASE("Only jobs without a started task count as pending", "[job_table]") {
    job_table table;
    table.apply_intake("job/a", record_of(job_of("a", 1, 1)), log_offset{1});
    table.apply_intake("job/b", record_of(job_of("b", 1, 1)), log_offset{2});
    table.apply_intake("job/c", record_of(job_of("c", 1, 1)), log_offset{3});
    job_progress active{.phase = job_phase::active, .occurrences = {}, .ended = {}};
    table.apply_progress("progress/b", to_wire(active).SerializeAsString(), log_offset{1});
    CHECK(table.count_pending(queue_id{"queue"}) == 3);
    active.begun = true;
    table.apply_progress("progress/b", to_wire(active).SerializeAsString(), log_offset{2});
    job_progress ended{.phase = job_phase::failed, .occurrences = {}, .ended = {}};
    table.apply_progress("progress/c", to_wire(ended).SerializeAsString(), log_offset{3});
    CHECK(table.count_pending(queue_id{"queue"}) == 1);
    CHECK(table.count_pending(queue_id{"other"}) == 0);
}

TEST_CASE("A job and its progress survive the round trip through their records", "[job_table]") {
    auto spec = job_of("j", 2, 3, true);
    spec.steps.front().checkpoints = true;
    spec.steps.front().rack_local = true;
    spec.steps.front().required_label = label{"a"};
    spec.steps.front().data_rack = rack_id{"r"};
    spec.steps.front().most_per_worker = 4;
    spec.occurrences = 2;
    spec.first_due = wall_time{5s};
    spec.interval = 3s;
    const auto parsed = from_wire(to_wire(spec));
    REQUIRE(parsed);
    CHECK(to_wire(parsed.value()).SerializeAsString() == record_of(spec));

    job_progress progress{.phase = job_phase::active, .occurrences = {new_occurrence(spec, 0)}};
    auto& task = progress.occurrences.front().steps.front().front();
    task = {.phase = task_phase::assigned,
            .run = run_number{4},
            .place = {.host = host_id{"h"}, .worker = worker_id{"w"}, .version = incarnation{7}},
            .failures = failure_record({run_number{1}, run_number{3}}),
            .checkpoint = "c"};
    const auto parsed_progress = from_wire(spec, to_wire(progress));
    const auto& read = parsed_progress.occurrences.front().steps.front().front();
    CHECK(read.place == task.place);
    CHECK(read.run == task.run);
    CHECK(read.failures == task.failures);
    CHECK(read.checkpoint == "c");
}

TEST_CASE("A done occurrence takes a few bytes in the record and stays done", "[job_table]") {
    auto spec = job_of("j", 50, 1);
    spec.occurrences = 3;
    job_progress progress{.phase = job_phase::active, .occurrences = {new_occurrence(spec, 0)}};
    progress.occurrences.push_back(new_occurrence(spec, 1));
    for (auto& task : progress.occurrences.front().steps.front()) {
        task = {.phase = task_phase::done, .run = run_number{1}, .checkpoint = "checkpoint"};
    }
    progress.occurrences.front().done = true;
    const auto record = to_wire(progress);
    CHECK(record.occurrences(0).ByteSizeLong() < 10);
    const auto parsed = from_wire(spec, record);
    REQUIRE(parsed.occurrences.size() == 2);
    CHECK(is_occurrence_done(spec, parsed.occurrences[0]));
    CHECK_FALSE(is_occurrence_done(spec, parsed.occurrences[1]));
}

TEST_CASE("Invalid jobs are rejected with a remedy", "[job_table]") {
    auto spec = job_of("j", 1, 1);
    CHECK(validate(spec));
    SECTION("no tasks") {
        spec.steps.front().tasks = 0;
    }
    SECTION("no steps") {
        spec.steps.clear();
    }
    SECTION("a step that waits for itself") {
        spec.steps.front().after = {0};
    }
    SECTION("too many tasks") {
        spec.steps.front().tasks = 1'000'000;
    }
    const auto result = validate(spec);
    REQUIRE_FALSE(result);
    CHECK_FALSE(result.error().remedy.empty());
}

TEST_CASE("Open progress without a submission is listed until the submission is read",
          "[job_table]") {
    job_table table;
    job_progress active{.phase = job_phase::active, .occurrences = {}, .ended = {}};
    job_progress ended{.phase = job_phase::completed, .occurrences = {}, .ended = wall_time{1s}};
    table.apply_progress("progress/a", to_wire(active).SerializeAsString(), log_offset{1});
    table.apply_progress("progress/b", to_wire(ended).SerializeAsString(), log_offset{2});
    CHECK(table.jobs_without_submission() == std::vector<job_id>{job_id{"a"}});
    table.apply_intake("job/a", record_of(job_of("a", 1, 1)), log_offset{1});
    CHECK(table.jobs_without_submission().empty());
}
