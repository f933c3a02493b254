#include <catch2/catch.hpp>

#include "baobabrack/workload.pb.h"
#include "workload/scheduler_fixture.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

job_spec lasting_job(std::uint32_t tasks, bool gang = false) {
    auto job = job_of("j", tasks, 1, gang);
    job.steps.front().long_running = true;
    return job;
}

void run_for(scheduler_fixture& fixture, duration span) {
    for (const auto end = fixture.now + span; fixture.now < end;) {
        fixture.run_pass();
    }
}

}  // namespace

// The task counted as done, and the job as completed, although nobody had cancelled it.
TEST_CASE("A long-running task whose run ends as done is started again",
          "[scheduler][lasting_tasks]") {
    const bool gang = GENERATE(false, true);
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(lasting_job(2, gang));
    run_for(fixture, 300ms);
    REQUIRE(fixture.run_count("h1") == 2);
    fixture.end_all("h1", run_outcome::done);
    run_for(fixture, 1s);
    CHECK(fixture.run_count("h1") == 2);
    CHECK(fixture.subject.counts().started == 4);
    CHECK(fixture.subject.open_jobs() == 1);
    fixture.subject.cancel_job(job_id{"j"});
    run_for(fixture, 1s);
    CHECK(fixture.run_count("h1") == 0);
    CHECK(fixture.subject.open_jobs() == 0);
}

// A member that ended as done made the gang count as done, and the others ran on alone.
TEST_CASE("A long-running gang is started again as a whole when one member ends as done",
          "[scheduler][lasting_tasks]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(lasting_job(2, true));
    run_for(fixture, 300ms);
    REQUIRE(fixture.run_count("h1") == 2);
    const auto member = fixture.reports["h1"].runs.front();
    fixture.end_run("h1", member.task, member.run, run_outcome::done);
    run_for(fixture, 1s);
    CHECK(fixture.run_count("h1") == 2);
    CHECK(fixture.subject.counts().started == 4);
}

// The run was taken for lost when its worker's lease expired, and its end arrives afterwards.
TEST_CASE("A long-running task is started again after the late end of a lost run as done",
          "[scheduler][lasting_tasks]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.submit(lasting_job(1));
    run_for(fixture, 300ms);
    const auto silent = fixture.reports["h1"];
    REQUIRE(silent.runs.size() == 1);
    fixture.reports.erase("h1");
    run_for(fixture, 10s);
    REQUIRE(fixture.subject.counts().lost == 1);
    fixture.reports["h1"] = silent;
    fixture.end_run("h1", silent.runs.front().task, silent.runs.front().run, run_outcome::done);
    run_for(fixture, 1s);
    CHECK(fixture.run_count("h1") == 1);
    CHECK(fixture.subject.open_jobs() == 1);
}

// Earlier versions stored such a task as done.
TEST_CASE("A long-running task that is stored as done is started again",
          "[scheduler][lasting_tasks]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    const auto job = lasting_job(2);
    job_progress stored{
        .phase = job_phase::active, .occurrences = {new_occurrence(job, 0)}, .ended = {}};
    auto& task = stored.occurrences.front().steps.front().front();
    task.phase = task_phase::done;
    task.run = run_number{1};
    fixture.subject.add_job(
        {.spec = job, .progress = from_wire(job, to_wire(stored)), .cancelled = false},
        fixture.now);
    run_for(fixture, 500ms);
    CHECK(fixture.run_count("h1") == 2);
}
