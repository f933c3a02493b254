#include <algorithm>
#include <catch2/catch.hpp>

#include "baobabrack/workload.pb.h"
#include "baobabrack/workload/message_limits.hpp"
#include "baobabrack/workload/report_codec.hpp"
#include "workload/scheduler_fixture.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint32_t many_tasks = 1500;

job_spec large_job(const std::string& id) {
    auto job = job_of(id, many_tasks, 0);
    job.workspace = workspace_id{"workspace"};
    job.payload = std::string(4000, 'x');
    job.steps.front().per_task = {.cpu = cpu_millicores{20}, .memory = memory_mib{20}};
    return job;
}

/// A worker with a large job, whose orders the test reads.
class order_fixture : public scheduler_fixture {
public:
    order_fixture() {
        add_worker("h1");
        submit(large_job("a-large"));
        decide();
    }

    void decide() {
        subject.handle_report(reports["h1"], now);
        subject.decide(&config, now, wall_now);
        subject.mark_stored(subject.drain_batch(true));
    }

    worker_orders read_orders() { return subject.orders_for(reports["h1"]); }

    static std::size_t encoded_size(const worker_orders& orders) {
        wire::WorkloadOrders message;
        to_wire(orders, message);
        return message.ByteSizeLong();
    }
};

bool has_start_of(const worker_orders& orders, const std::string& job) {
    return std::any_of(orders.starts.begin(), orders.starts.end(), [&](const start_order& start) {
        return start.task.step.job == job_id{job};
    });
}

}  // namespace

// A guard closes a connection that sends more than it takes. It got no orders at all any more: no
// starts, no acknowledgements and no leases (review/12).
TEST_CASE("Orders for many runs with long payloads stay within what a guard takes",
          "[scheduler][orders]") {
    order_fixture fixture;
    std::size_t started = 0;
    for (std::size_t pass = 0; pass < many_tasks && started < many_tasks; ++pass) {
        const auto orders = fixture.read_orders();
        REQUIRE(order_fixture::encoded_size(orders) < max_orders_bytes);
        REQUIRE_FALSE(orders.starts.empty());
        for (const auto& start : orders.starts) {
            fixture.reports["h1"].runs.push_back({.task = start.task, .run = start.run});
        }
        started += orders.starts.size();
        fixture.decide();
    }
    CHECK(started == many_tasks);
}

TEST_CASE("A large job does not hold up the starts of another workspace", "[scheduler][orders]") {
    order_fixture fixture;
    auto small = job_of("b-small", 1, 1);
    small.workspace = workspace_id{"other"};
    fixture.submit(small);
    fixture.decide();
    CHECK(has_start_of(fixture.read_orders(), "b-small"));
}

// The needs say what room is left, so a start that is read without them may exceed the capacity.
TEST_CASE("Stops and needs of many runs stay within what a guard takes, and go before starts",
          "[scheduler][orders]") {
    constexpr std::uint32_t unknown_runs = 60'000;
    order_fixture fixture;
    auto& report = fixture.reports["h1"];
    SECTION("stops") {
        for (std::uint32_t index = 0; index < unknown_runs; ++index) {
            report.runs.push_back(
                {.task = {.step = {.job = job_id{"0123456789abcdef0123456789abcdef"
                                                 "0123456789abcdef"}},
                          .index = index},
                 .run = run_number{1}});
        }
        const auto orders = fixture.read_orders();
        CHECK(order_fixture::encoded_size(orders) < max_orders_bytes);
        CHECK_FALSE(orders.stops.empty());
        CHECK(orders.starts.empty());
    }
    SECTION("needs") {
        while (!fixture.read_orders().starts.empty() && report.runs.size() < many_tasks) {
            for (const auto& start : fixture.read_orders().starts) {
                report.runs.push_back({.task = start.task, .run = start.run});
            }
        }
        for (auto& run : report.runs) {
            run.needs_unknown = true;
        }
        const auto orders = fixture.read_orders();
        CHECK(orders.needs.size() == many_tasks);
    }
}

// A start that waits for others at the guard's connections uses up the time limit of its call.
TEST_CASE("No more starts are sent than a guard may have under way", "[scheduler][orders]") {
    order_fixture fixture;
    const order_limits limits;
    const auto first = fixture.read_orders();
    REQUIRE(first.starts.size() <= limits.max_pending_starts);
    for (const auto& start : first.starts) {
        fixture.reports["h1"].runs.push_back(
            {.task = start.task, .run = start.run, .listed = false, .begun = false});
    }
    CHECK(fixture.read_orders().starts.size() + first.starts.size() <= limits.max_pending_starts);
}

TEST_CASE("Starts are left out if the needs of other runs do not fit", "[orders]") {
    const job_spec job = large_job("j");
    const task_progress task{.run = run_number{1}};
    const start_candidate candidate{.job = &job, .step = &job.steps.front(), .task = &task};
    worker_orders orders;
    orders.needs.resize(10);
    const bool all_fit = GENERATE(true, false);
    const auto needs_bytes = 10 * max_encoded_bytes(orders.needs.front());
    select_orders(
        orders, {candidate}, 0,
        {.max_bytes = all_fit ? needs_bytes + max_encoded_bytes(candidate) : needs_bytes - 1});
    CHECK(orders.needs.size() == (all_fit ? 10 : 9));
    CHECK(orders.starts.size() == (all_fit ? 1 : 0));
}

TEST_CASE("Workspaces take turns, and so do the jobs of one", "[orders]") {
    auto large = large_job("large");
    auto sibling = large_job("sibling");
    auto other = large_job("other");
    other.workspace = workspace_id{"other"};
    std::vector<start_candidate> candidates;
    for (const auto* job : {&large, &large, &large, &sibling, &other, &other}) {
        candidates.push_back({.job = job});
    }
    std::vector<const job_spec*> turns;
    for (const auto& candidate : take_turns(candidates)) {
        turns.push_back(candidate.job);
    }
    CHECK(turns == std::vector<const job_spec*>{&large, &other, &sibling, &other, &large, &large});
}

// The time without progress counted from the assignment, so that runs which waited for their turn
// to be started were stopped as soon as they were listed.
TEST_CASE("A run whose start was delayed is not taken for stalled",
          "[scheduler][orders][known-red]") {
    order_fixture fixture;
    fixture.now += 10s;
    for (const auto& start : fixture.read_orders().starts) {
        fixture.reports["h1"].runs.push_back({.task = start.task, .run = start.run});
    }
    fixture.decide();
    CHECK(fixture.subject.counts().stopped == 0);
    fixture.now += 60s;
    fixture.decide();
    CHECK(fixture.subject.counts().stopped > 0);
}
