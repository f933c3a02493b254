#include <catch2/catch.hpp>

#include "workload/scheduler_fixture.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

/// A scheduler with one worker, one job and the table that callers are answered from.
class pending_fixture : public scheduler_fixture {
public:
    pending_fixture() {
        add_worker("h1");
        const auto spec = job_of("j", 1, 1);
        table.apply_intake("job/j", to_wire(spec).SerializeAsString(), log_offset{1});
        submit(spec);
    }

    job_table table;

    worker_report& report() { return reports["h1"]; }

    /// Handles the worker's report, decides, and stores the batch.
    ///
    /// @return the orders that answer the report
    worker_orders pass() {
        subject.handle_report(report(), now);
        subject.decide(&config, now, wall_now);
        const auto batch = subject.drain_batch(true);
        for (const auto& change : batch.changes) {
            table.apply_progress("progress/" + change.job.get(),
                                 to_wire(change.progress).SerializeAsString(), log_offset{++end_});
        }
        subject.mark_stored(batch);
        now += 100ms;
        wall_now += 100ms;
        return subject.orders_for(report());
    }

    std::uint64_t pending() const { return table.count_pending(queue_id{"queue"}); }

private:
    std::uint64_t end_ = 1;
};

}  // namespace

// A queue was reported as empty as soon as a worker was chosen for its job, although the worker
// might refuse the start.
TEST_CASE("A job is pending until a worker has started one of its tasks", "[pending]") {
    pending_fixture fixture;
    const auto orders = fixture.pass();
    REQUIRE(orders.starts.size() == 1);
    const auto task = orders.starts.front().task;
    const auto run = orders.starts.front().run;
    CHECK(fixture.pending() == 1);
    SECTION("the only start is refused") {
        fixture.report().refusals.push_back({.task = task, .run = run, .reason = "no_room"});
        fixture.pass();
        CHECK(fixture.pending() == 1);
    }
    SECTION("the start is sent and then accepted") {
        fixture.report().runs.push_back(
            {.task = task, .run = run, .listed = false, .begun = false});
        fixture.pass();
        CHECK(fixture.pending() == 1);
        fixture.report().runs.front().begun = true;
        fixture.pass();
        CHECK(fixture.pending() == 0);
        SECTION("it stays started when the run is lost") {
            fixture.report().runs.clear();
            fixture.crash("h1");
            fixture.pass();
            CHECK(fixture.pending() == 0);
        }
    }
    SECTION("the run ends before a report lists it") {
        fixture.end_run("h1", task, run, run_outcome::failed);
        fixture.pass();
        CHECK(fixture.pending() == 0);
    }
    CHECK(job_table::visible_phase(*fixture.table.find(job_id{"j"})) != job_phase::queued);
}
