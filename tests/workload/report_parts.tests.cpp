#include "baobabrack/workload/report_parts.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/workload/guard_sessions.hpp"
#include "workload/simulated_cluster.hpp"

using namespace baobabrack;
using namespace baobabrack::testing;
using namespace baobabrack::workload;
using namespace std::chrono_literals;

// The reports of a guard with thousands of runs were larger than a scheduler takes. They were lost,
// and the job did not end.
TEST_CASE("Thousands of small tasks run on one worker", "[scheduler_node][reports]") {
    constexpr std::uint32_t tasks = 4200;
    const std::string long_id(64, 'j');
    simulated_cluster cluster(51, {.hosts = 1, .run_time = 30s});
    cluster.run_for(2s);
    auto job = job_of(long_id, tasks, 0);
    job.steps.front().per_task = {.cpu = cpu_millicores{5}, .memory = memory_mib{5}};
    job.steps.front().estimated = 30s;
    REQUIRE(cluster.submit(job));
    CHECK(cluster.run_until([&] { return cluster.completed(long_id); }, 90s));
    CHECK(cluster.oversized_messages() == 0);
    CHECK(cluster.runs_started == tasks);
    CHECK(cluster.violations.empty());
}

// The orders were larger than the guard takes, and so were all that followed: nothing that was
// placed on the worker was started any more.
TEST_CASE("Many jobs with long payloads that arrive at once run beside a small one",
          "[scheduler_node][orders]") {
    simulated_cluster cluster(52, {.hosts = 1, .run_time = 2s});
    cluster.run_for(2s);
    for (int number = 0; number < 40; ++number) {
        auto job = job_of("large-" + std::to_string(number), 40, 0);
        job.payload = std::string(4000, 'x');
        job.steps.front().per_task = {.cpu = cpu_millicores{20}, .memory = memory_mib{20}};
        REQUIRE(cluster.submit(job));
    }
    auto small = job_of("small", 1, 1);
    small.workspace = workspace_id{"other"};
    REQUIRE(cluster.submit(small));
    CHECK(cluster.run_until([&] { return cluster.completed("small"); }, 6s));
    CHECK(cluster.run_until([&] { return cluster.completed("large-39"); }, 30s));
    CHECK(cluster.oversized_messages() == 0);
    CHECK(cluster.runs_started == 1601);
    CHECK(cluster.violations.empty());
}

namespace {

constexpr time_point arrival{100s};

/// @return a report with so many runs, ends and refusals
wire::WorkloadReport make_report(int runs, int ends, std::uint64_t sequence = 1) {
    wire::WorkloadReport report;
    report.set_host("h");
    report.set_guard_incarnation(1);
    report.set_sequence(sequence);
    report.set_term(5);
    report.set_lists_known(true);
    for (int index = 0; index < runs; ++index) {
        auto& run = *report.add_runs();
        run.mutable_task()->set_job("5c0e7a21d94b36f8");
        run.mutable_task()->set_index(static_cast<std::uint32_t>(index));
        run.set_run(1);
        run.set_checkpoint("00000bb87a21d94b");
    }
    for (int index = 0; index < ends; ++index) {
        report.add_ends()->set_number(static_cast<std::uint64_t>(index));
        report.add_refusals()->set_reason("no_room");
    }
    return report;
}

}  // namespace

TEST_CASE("The parts of a report fit into messages and make up the report", "[reports]") {
    const auto report = make_report(20'000, 500);
    const auto parts = split_report(report);
    REQUIRE(parts.size() > 1);
    CHECK(parts.size() <= max_report_parts);
    CHECK(parts.front().ends_size() == 500);
    CHECK(parts.front().refusals_size() == 500);
    report_assembler assembler;
    for (std::size_t index = 0; index < parts.size(); ++index) {
        CHECK(parts[index].ByteSizeLong() <= max_report_bytes);
        const auto whole = assembler.add(parts[index]);
        REQUIRE(whole.has_value() == (index + 1 == parts.size()));
        if (whole) {
            CHECK(whole->runs_size() == report.runs_size());
            CHECK(whole->runs(19'999).task().index() == 19'999);
            CHECK(whole->ends_size() == report.ends_size());
        }
    }
    CHECK(assembler.bytes() == 0);
}

TEST_CASE("A report that fits is sent as it is", "[reports]") {
    const auto parts = split_report(make_report(100, 10));
    REQUIRE(parts.size() == 1);
    CHECK(parts.front().parts() == 0);
}

TEST_CASE("What exceeds the last part of a report is left out", "[reports]") {
    const auto parts = split_report(make_report(1000, 0), {.max_bytes = 1000, .max_parts = 3});
    CHECK(parts.size() == 3);
    CHECK(parts.back().ByteSizeLong() <= 1000);
}

TEST_CASE("A report of which a part was lost is not used, and the next one is", "[reports]") {
    const auto first = split_report(make_report(100, 0, 1), {.max_bytes = 2000, .max_parts = 16});
    const auto second = split_report(make_report(100, 0, 2), {.max_bytes = 2000, .max_parts = 16});
    REQUIRE(first.size() > 2);
    guard_sessions sessions;
    sessions.begin_term(5);
    const auto lost = GENERATE(0U, 1U);
    for (std::size_t index = 0; index < first.size(); ++index) {
        if (index != lost) {
            CHECK(sessions.accept_report(first[index], arrival) == nullptr);
        }
    }
    const worker_report* accepted = nullptr;
    for (const auto& part : second) {
        accepted = sessions.accept_report(part, arrival);
    }
    REQUIRE(accepted != nullptr);
    CHECK(accepted->runs.size() == 100);
}

// Anybody can connect to the port for other processes.
TEST_CASE("Incomplete reports of many guards take a limited memory", "[reports]") {
    guard_sessions sessions;
    sessions.begin_term(5);
    const auto parts = split_report(make_report(20'000, 0));
    for (int guard = 0; guard < 1000; ++guard) {
        auto part = parts.front();
        part.set_host("stranger-" + std::to_string(guard));
        sessions.accept_report(part, arrival);
    }
    for (const auto& part : parts) {
        CHECK(sessions.accept_report(part, arrival) == nullptr);
    }
    CHECK(sessions.accept_report(make_report(10, 0, 2), arrival) != nullptr);
}
