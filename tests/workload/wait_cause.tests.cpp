#include "baobabrack/workload/wait_cause.hpp"

#include <catch2/catch.hpp>

#include "workload/scheduler_fixture.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

worker_facts facts_of(const std::string& host, const std::string& rack) {
    worker_facts facts;
    facts.instance.host = host_id{host};
    facts.rack = rack_id{rack};
    facts.capacity = {.cpu = cpu_millicores{64'000},
                      .memory = memory_mib{64'000},
                      .accelerators = accelerator_count{8}};
    return facts;
}

candidate with_free(const worker_facts& facts, std::uint32_t accelerators) {
    auto available = facts.capacity;
    available.accelerators = accelerator_count{accelerators};
    return {.facts = &facts, .available = available};
}

}  // namespace

// Guards against a wait that is put down to missing capacity while it has a narrower cause.
TEST_CASE("The cause of a wait follows from the free capacity", "[wait-cause]") {
    const auto first = facts_of("h1", "r1");
    const auto second = facts_of("h2", "r2");
    step_spec step;
    step.per_task = {.cpu = cpu_millicores{1000},
                     .memory = memory_mib{1000},
                     .accelerators = accelerator_count{8}};
    task_group group;
    group.spec = &step;
    group.tasks = {0};
    SECTION("too little in total") {
        CHECK(find_wait_cause(group, {with_free(first, 3), with_free(second, 4)}, {}) ==
              wait_cause::capacity);
    }
    SECTION("enough in total, but on no worker") {
        CHECK(find_wait_cause(group, {with_free(first, 4), with_free(second, 4)}, {}) ==
              wait_cause::whole_worker);
    }
    SECTION("room on a worker that is left out") {
        CHECK(find_wait_cause(group, {with_free(first, 4)}, {with_free(second, 8)}) ==
              wait_cause::excluded);
        CHECK(find_wait_cause(group, {with_free(first, 4)}, {with_free(second, 7)}) ==
              wait_cause::capacity);
    }
    SECTION("room on a host that the job avoids") {
        group.excluded_hosts = {host_id{"h1"}};
        CHECK(find_wait_cause(group, {with_free(first, 8)}, {}) == wait_cause::avoided_hosts);
    }
    SECTION("room that is reserved") {
        CHECK(find_wait_cause(group, {with_free(first, 8)}, {}) == wait_cause::reserved);
    }
    SECTION("a gang that would span racks") {
        step.gang = true;
        step.rack_local = true;
        group.tasks = {0, 1};
        CHECK(find_wait_cause(group, {with_free(first, 8), with_free(second, 8)}, {}) ==
              wait_cause::rack);
        CHECK(find_wait_cause(group, {with_free(first, 8)}, {with_free(second, 8)}) ==
              wait_cause::excluded);
    }
}

// Guards against a line without the field that the report of lost time reads.
TEST_CASE("A job that waits is reported with the cause", "[wait-cause][scheduler]") {
    scheduler_fixture fixture;
    fixture.add_worker("h1");
    fixture.reports["h1"].facts.draining = true;
    fixture.submit(job_of("j", 1, 1));
    for (const auto end = fixture.now + 1500ms; fixture.now < end;) {
        fixture.run_pass();
    }
    bool reported = false;
    for (const auto& decision : fixture.subject.drain_decision_events()) {
        if (decision.event == "job-waiting") {
            reported = true;
            CHECK(decision.waits_for == wait_cause::excluded);
            CHECK(decision.excluded_as == "draining");
        }
    }
    CHECK(reported);
}
