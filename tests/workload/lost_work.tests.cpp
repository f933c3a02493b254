#include "baobabrack/workload/lost_work.hpp"

#include <algorithm>
#include <catch2/catch.hpp>

#include "workload/scheduler_fixture.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr time_point start{100s};

// What a task of `job_of(id, 1, accelerators)` does per second: an accelerator counts as 8 cores,
// and there is one core.
constexpr double work_of(std::uint32_t accelerators) {
    return 8.0 * accelerators + 1;
}

void run_for(scheduler_fixture& fixture, duration span) {
    for (const auto end = fixture.now + span; fixture.now < end;) {
        fixture.run_pass();
    }
}

/// @return the accounts of the events of this name since the last call
std::vector<run_account> accounts_of(scheduler_fixture& fixture, const std::string& event) {
    std::vector<run_account> accounts;
    for (const auto& decision : fixture.subject.drain_decision_events()) {
        if (decision.event == event && decision.account) {
            accounts.push_back(*decision.account);
        }
    }
    return accounts;
}

}  // namespace

// Guards against work that is counted under another cause than the one that stopped the run.
TEST_CASE("The cause of lost work follows from the outcome and from the reason of the stop",
          "[lost-work]") {
    CHECK(lost_work_cause_of(run_outcome::done, {}) == std::nullopt);
    CHECK(lost_work_cause_of(run_outcome::done, stop_cause::preempted) == std::nullopt);
    CHECK(lost_work_cause_of(run_outcome::done, stop_cause::done_earlier) ==
          lost_work_cause::done_twice);
    CHECK(lost_work_cause_of(run_outcome::failed, stop_cause::preempted) ==
          lost_work_cause::run_failed);
    CHECK(lost_work_cause_of(run_outcome::stopped, stop_cause::preempted) ==
          lost_work_cause::preempted);
    CHECK(lost_work_cause_of(run_outcome::stopped, stop_cause::worker_leaves) ==
          lost_work_cause::worker_leaves);
    CHECK(lost_work_cause_of(run_outcome::stopped, {}) == lost_work_cause::unknown);
    CHECK(lost_work_cause_of(run_outcome::gang_broken, stop_cause::reclaimed) ==
          lost_work_cause::reclaimed);
    CHECK(lost_work_cause_of(run_outcome::gang_broken, {}) == lost_work_cause::gang_ended);
    CHECK(lost_work_cause_of(run_outcome::lease_lapsed, {}) == lost_work_cause::lease_expired);
}

// Guards against a cause without a name of its own: the metric would mix two causes.
TEST_CASE("Each cause of lost work has its own name", "[lost-work]") {
    for (const auto cause : lost_work_causes) {
        CHECK(parse_lost_work_cause(to_string(cause)) == cause);
    }
    CHECK(parse_lost_work_cause("preempted by a job") == std::nullopt);
}

// Guards against counting work as lost that the next run resumes from a checkpoint.
TEST_CASE("The run time until the latest checkpoint is preserved", "[lost-work]") {
    const run_times times{.assigned = start,
                          .listed_since = start + 1s,
                          .checkpoint_at = start + 4s,
                          .ended = start + 6s};
    const auto account = account_for(times, lost_work_cause::preempted);
    CHECK(account.start_delay == duration{1s});
    CHECK(account.saved == duration{3s});
    CHECK(account.lost == duration{2s});
    lost_work_totals totals;
    totals.add(account, {.cpu = cpu_millicores{500},
                         .memory = memory_mib{1},
                         .accelerators = accelerator_count{2}});
    CHECK(totals.core_seconds(lost_work_cause::preempted) == Approx(2 * 16.5));
    CHECK(totals.core_seconds(lost_work_cause::reclaimed) == 0);
}

// Guards against negative run times, which would let the exported counter decrease.
TEST_CASE("A run that has not been listed, or whose times are out of order, has no run time",
          "[lost-work]") {
    const auto never_listed =
        account_for({.assigned = start, .ended = start + 9s}, lost_work_cause::start_refused);
    CHECK(never_listed.lost == duration::zero());
    CHECK(never_listed.start_delay == std::nullopt);
    const auto reversed =
        account_for({.assigned = start + 2s, .listed_since = start + 1s, .ended = start},
                    lost_work_cause::lease_expired);
    CHECK(reversed.lost == duration::zero());
    CHECK(reversed.saved == duration::zero());
    CHECK(reversed.start_delay == duration::zero());
    const auto done =
        account_for({.assigned = start, .listed_since = start, .ended = start + 9s}, std::nullopt);
    CHECK(done.lost == duration::zero());
}

// Guards against runs that end without being accounted for, and against changed log texts.
TEST_CASE("The scheduler accounts for runs that end unfinished", "[lost-work][scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    auto job = job_of("j", 1, 1);
    job.steps.front().estimated = 60s;
    SECTION("preempted by an urgent job") {
        job.steps.front().per_task.accelerators = accelerator_count{8};
        fixture.submit(job);
        run_for(fixture, 1s);
        fixture.submit(urgent_job("urgent", 1, 8));
        fixture.run_pass();
        const auto events = fixture.subject.drain_decision_events();
        CHECK(std::any_of(events.begin(), events.end(), [](const auto& decision) {
            return decision.event == "run-stopping" &&
                   decision.detail == "preempted by a job of priority 0";
        }));
        run_for(fixture, 300ms);
        const auto accounts = accounts_of(fixture, "run-ended");
        REQUIRE(accounts.size() == 1);
        CHECK(accounts.front().cause == lost_work_cause::preempted);
        // Listed from the second pass on; its end is handled in the twelfth.
        CHECK(accounts.front().lost == duration{1s});
        const auto lost = fixture.subject.drain_lost_work();
        CHECK(lost.core_seconds(lost_work_cause::preempted) == Approx(work_of(8)));
        CHECK(fixture.subject.drain_lost_work().core_seconds(lost_work_cause::preempted) == 0);
    }
    SECTION("cancelled") {
        fixture.submit(job);
        run_for(fixture, 1s);
        fixture.subject.cancel_job(job.id);
        run_for(fixture, 300ms);
        const auto accounts = accounts_of(fixture, "run-ended");
        REQUIRE(accounts.size() == 1);
        CHECK(accounts.front().cause == lost_work_cause::cancelled);
    }
    SECTION("cancelled, long-running") {
        job.steps.front().long_running = true;
        fixture.submit(job);
        run_for(fixture, 1s);
        fixture.subject.cancel_job(job.id);
        run_for(fixture, 300ms);
        const auto accounts = accounts_of(fixture, "run-ended");
        REQUIRE(accounts.size() == 1);
        CHECK(accounts.front().cause == std::nullopt);
    }
    SECTION("failed, with a checkpoint") {
        job.steps.front().checkpoints = true;
        fixture.submit(job);
        run_for(fixture, 500ms);
        fixture.reports["h1"].runs.front().checkpoint = "c1";
        run_for(fixture, 500ms);
        fixture.end_all("h1", run_outcome::failed);
        fixture.run_pass();
        const auto accounts = accounts_of(fixture, "run-ended");
        REQUIRE(accounts.size() == 1);
        CHECK(accounts.front().cause == lost_work_cause::run_failed);
        CHECK(accounts.front().saved == duration{400ms});
        CHECK(accounts.front().lost == duration{500ms});
    }
    SECTION("lost with its worker") {
        fixture.submit(job);
        run_for(fixture, 1s);
        fixture.crash("h1");
        const auto lost = fixture.subject.drain_lost_work();
        CHECK(lost.core_seconds(lost_work_cause::worker_crashed) == Approx(work_of(1) * 0.8));
    }
    SECTION("lost when the lease expired") {
        fixture.submit(job);
        run_for(fixture, 1s);
        fixture.reports.clear();
        run_for(fixture, 10s);
        const auto accounts = accounts_of(fixture, "run-lost");
        REQUIRE(accounts.size() == 1);
        CHECK(accounts.front().cause == lost_work_cause::lease_expired);
        CHECK(accounts.front().lost == duration{800ms});
    }
    SECTION("refused") {
        fixture.submit(job);
        run_for(fixture, 100ms);
        auto& report = fixture.reports["h1"];
        REQUIRE(report.runs.size() == 1);
        report.refusals.push_back({.task = report.runs.front().task,
                                   .run = report.runs.front().run,
                                   .reason = "no_room"});
        report.runs.clear();
        fixture.run_pass();
        const auto accounts = accounts_of(fixture, "start-refused");
        REQUIRE(accounts.size() == 1);
        CHECK(accounts.front().cause == lost_work_cause::start_refused);
        CHECK(accounts.front().lost == duration::zero());
    }
    SECTION("done") {
        fixture.submit(job);
        run_for(fixture, 1s);
        fixture.end_all("h1", run_outcome::done);
        fixture.run_pass();
        const auto accounts = accounts_of(fixture, "run-ended");
        REQUIRE(accounts.size() == 1);
        CHECK(accounts.front().cause == std::nullopt);
        CHECK(accounts.front().start_delay == duration{100ms});
    }
}
