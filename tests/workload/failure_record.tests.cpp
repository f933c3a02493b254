#include "baobabrack/workload/failure_record.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/workload.pb.h"
#include "workload/simulated_cluster.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;

namespace {

/// @return the step's tasks as they are read from a record of a job with one step
std::vector<task_progress> read_tasks(const job_spec& spec, const wire::WorkloadProgress& record) {
    return from_wire(spec, record).occurrences.front().steps.front();
}

}  // namespace

TEST_CASE("A failed run counts once, in whatever order its ends arrive", "[failure_record]") {
    failure_record failures;
    CHECK(failures.add(run_number{3}, run_number{3}));
    CHECK(failures.add(run_number{1}, run_number{3}));
    CHECK_FALSE(failures.add(run_number{3}, run_number{4}));
    CHECK_FALSE(failures.add(run_number{1}, run_number{4}));
    CHECK(failures.count() == 2);
    CHECK(failures.runs() == std::vector{run_number{1}, run_number{3}});
}

// Schedulers of the earlier version may lead between those of this one during an upgrade.
TEST_CASE("An end that an earlier version has counted without its run is not counted again",
          "[failure_record]") {
    const auto spec = job_of("j", 1, 1);
    wire::WorkloadProgress record;
    auto& stored = *record.add_occurrences()->add_steps()->add_tasks();
    stored.set_run(3);
    stored.set_failures(2);
    auto task = read_tasks(spec, record).front();
    REQUIRE(task.failures.count() == 2);
    task.failures.add(run_number{1}, task.run);
    task.failures.add(run_number{2}, task.run);
    CHECK(task.failures.count() == 2);
    task.failures.add(run_number{3}, task.run);
    CHECK(task.failures.count() == 3);
}

TEST_CASE("Failures of a gang that an earlier version has stored are kept as one count",
          "[failure_record]") {
    const auto spec = job_of("j", 3, 1, true);
    wire::WorkloadProgress record;
    auto& step = *record.add_occurrences()->add_steps();
    for (int index = 0; index < 3; ++index) {
        auto& stored = *step.add_tasks();
        stored.set_run(4);
        // Run 1 was counted at task 0, and run 3, in which two members failed, at task 1.
        stored.set_failures(index < 2 ? 1 : 0);
        stored.set_failed_run(index == 0 ? 1 : 3);
    }
    auto tasks = read_tasks(spec, record);
    CHECK(failed_attempts(spec.steps.front(), tasks) == 2);
    CHECK_FALSE(record_failure(spec.steps.front(), tasks, tasks[2], run_number{3}));
    CHECK(record_failure(spec.steps.front(), tasks, tasks[2], run_number{4}));
    CHECK(failed_attempts(spec.steps.front(), tasks) == 3);
}

TEST_CASE("Failed runs are stored with their numbers, and their count for earlier versions",
          "[failure_record]") {
    const auto spec = job_of("j", 2, 1, GENERATE(false, true));
    job_progress progress{.phase = job_phase::active, .occurrences = {new_occurrence(spec, 0)}};
    auto& tasks = progress.occurrences.front().steps.front();
    for (auto& task : tasks) {
        task.run = run_number{5};
        record_failure(spec.steps.front(), tasks, task, run_number{2});
        record_failure(spec.steps.front(), tasks, task, run_number{5});
    }
    const auto record = to_wire(progress);
    const auto& stored = record.occurrences(0).steps(0).tasks(0);
    CHECK(stored.failures() == 2);
    CHECK(stored.failed_run() == 5);
    const auto read = read_tasks(spec, record);
    CHECK(read[0].failures == tasks[0].failures);
    CHECK(read[1].failures == tasks[1].failures);
    CHECK(failed_attempts(spec.steps.front(), read) == 2);
}

TEST_CASE("Failures of a lasting task are not kept, as its attempts are not limited",
          "[failure_record]") {
    auto spec = job_of("j", 1, 1);
    spec.steps.front().long_running = true;
    auto tasks = new_occurrence(spec, 0).steps.front();
    CHECK_FALSE(record_failure(spec.steps.front(), tasks, tasks.front(), run_number{1}));
    CHECK(tasks.front().failures.count() == 0);
}
