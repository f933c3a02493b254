#include <catch2/catch.hpp>

#include "baobabrack/workload.pb.h"
#include "workload/scheduler_fixture.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

/// A task whose first run was taken for lost when its worker's lease expired, and whose second run
/// is on another worker. The first worker has ended its run, which nobody has heard yet.
class late_end_fixture : public scheduler_fixture {
public:
    explicit late_end_fixture(std::uint32_t attempts = 3) {
        add_worker("h1");
        job_ = job_of("j", 1, 8);
        job_.most_attempts = attempts;
        job_.steps.front().estimated = 60s;
        submit(job_);
        run_for(300ms);
        first_ = reports["h1"];
        REQUIRE(first_.runs.size() == 1);
        reports.erase("h1");
        add_worker("h2");
        run_for(10s);
        REQUIRE(run_count("h2") == 1);
        REQUIRE(subject.counts().started == 2);
    }

    void run_for(duration span) {
        for (const auto end = now + span; now < end;) {
            run_pass();
            for (auto& [host, report] : reports) {
                for (auto& run : report.runs) {
                    ++run.percent;
                }
            }
        }
    }

    /// The first worker reports again, with the end of its run.
    void hear_first(run_outcome outcome) {
        reports["h1"] = first_;
        end_run("h1", first_.runs.front().task, first_.runs.front().run, outcome);
    }

    /// @return the scheduler that takes over with the stored progress
    void change_leader() {
        const auto stored = stored_progress_;
        subject = scheduler(scheduler::options{});
        subject.load({}, now, now);
        subject.add_job({.spec = job_, .progress = stored, .cancelled = false}, now);
    }

    void store() {
        const auto batch = subject.drain_batch(true);
        for (const auto& change : batch.changes) {
            stored_progress_ = from_wire(job_, to_wire(change.progress));
        }
        subject.mark_stored(batch);
    }

    job_spec job_;
    worker_report first_;
    job_progress stored_progress_;
};

}  // namespace

// The end was dropped as not that of the current run, but acknowledged, so that the task ran again.
TEST_CASE("An end as done that arrives after the next run was assigned counts",
          "[scheduler][late-ends]") {
    late_end_fixture fixture;
    fixture.hear_first(run_outcome::done);
    SECTION("the next run is stopped") {
        fixture.run_for(500ms);
        CHECK(fixture.run_count("h2") == 0);
    }
    SECTION("the worker of the next run crashes") {
        fixture.subject.handle_report(fixture.reports["h1"], fixture.now);
        auto& report = fixture.reports["h2"];
        report.facts.instance.version = incarnation{2};
        report.runs.clear();
        fixture.run_for(5s);
    }
    SECTION("the leader changes before the next run has ended") {
        fixture.subject.handle_report(fixture.reports["h1"], fixture.now);
        fixture.subject.decide(&fixture.config, fixture.now, fixture.wall_now);
        fixture.store();
        fixture.change_leader();
        fixture.run_for(2s);
        CHECK(fixture.run_count("h2") == 0);
        CHECK(fixture.subject.counts().started == 0);
        CHECK(fixture.subject.open_jobs() == 0);
        return;
    }
    CHECK(fixture.subject.counts().started == 2);
    CHECK(fixture.subject.open_jobs() == 0);
}

TEST_CASE("An end as failed that arrives after the next run was assigned uses up an attempt",
          "[scheduler][late-ends]") {
    late_end_fixture fixture(2);
    fixture.hear_first(run_outcome::failed);
    fixture.run_for(500ms);
    CHECK(fixture.run_count("h2") == 1);
    fixture.end_all("h2", run_outcome::failed);
    fixture.run_for(20s);
    CHECK(fixture.subject.counts().started == 2);
    CHECK(fixture.subject.open_jobs() == 0);
}

// The other side: only an end as done makes the next run unnecessary.
TEST_CASE("Other ends of an earlier run leave the current run alone", "[scheduler][late-ends]") {
    late_end_fixture fixture;
    fixture.hear_first(GENERATE(run_outcome::lease_lapsed, run_outcome::stopped,
                                run_outcome::failed, run_outcome::unknown));
    fixture.run_for(1s);
    CHECK(fixture.run_count("h2") == 1);
    fixture.end_all("h2", run_outcome::done);
    fixture.run_for(300ms);
    CHECK(fixture.subject.counts().started == 2);
    CHECK(fixture.subject.open_jobs() == 0);
}

// A guard repeats an end until it is acknowledged, so a leader that takes over may receive one
// whose failure its predecessor has stored. It used up another attempt (review/11).
TEST_CASE(
    "A failure that an earlier leader has stored is not counted again after the next run was "
    "assigned",
    "[scheduler][late-ends]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.add_worker("h2");
    auto job = job_of("j", 1, 8);
    job.most_attempts = 3;
    fixture.submit(job);
    job_progress stored;
    const auto change_leader = [&] {
        const auto batch = fixture.subject.drain_batch(true);
        for (const auto& change : batch.changes) {
            stored = from_wire(job, to_wire(change.progress));
        }
        fixture.subject = scheduler(scheduler::options{});
        fixture.subject.load({}, fixture.now, fixture.now);
        fixture.subject.add_job({.spec = job, .progress = stored, .cancelled = false}, fixture.now);
    };
    const auto active_host = [&] { return std::string{fixture.run_count("h1") > 0 ? "h1" : "h2"}; };
    fixture.run_pass();
    fixture.end_all(active_host(), run_outcome::failed);
    // The end is handled by three leaders in turn, none of which lives to acknowledge it.
    for (int leader = 0; leader < 3; ++leader) {
        for (auto& [host, report] : fixture.reports) {
            fixture.subject.handle_report(report, fixture.now);
        }
        fixture.subject.decide(&fixture.config, fixture.now, fixture.wall_now);
        change_leader();
    }
    fixture.now += 10s;
    fixture.wall_now += 10s;
    fixture.run_pass();
    fixture.run_pass();
    REQUIRE(fixture.subject.open_jobs() == 1);
    fixture.end_all(active_host(), run_outcome::failed);
    fixture.run_pass();
    CHECK(fixture.subject.open_jobs() == 1);
    fixture.now += 10s;
    fixture.wall_now += 10s;
    fixture.run_pass();
    fixture.end_all(active_host(), run_outcome::failed);
    fixture.run_pass();
    CHECK(fixture.subject.open_jobs() == 0);
}
