#include <catch2/catch.hpp>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload.pb.h"
#include "baobabrack/workload/report_codec.hpp"
#include "workload/simulated_cluster.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t odd_number = 1ULL << 63U;

}  // namespace

// Such times became negative, or overflowed when they were added up.
TEST_CASE("Times of a stored job that are out of range are cut", "[ranges]") {
    wire::WorkloadSubmission record = to_wire(job_of("j", 1, 1));
    *record.add_steps() = record.steps(0);
    record.mutable_steps(1)->add_after(0);
    for (auto& step : *record.mutable_steps()) {
        step.set_estimated_ms(odd_number);
    }
    record.set_occurrences(max_occurrences);
    record.set_interval_ms(odd_number);
    record.set_first_due_unix_ms(odd_number);
    record.set_submitted_unix_ms(odd_number);
    record.set_target_completion_ms(odd_number);
    const auto read = from_wire(record);
    REQUIRE(read);
    const auto& spec = read.value();
    CHECK(spec.steps[0].estimated > 0s);
    CHECK(critical_path_time(spec) == 2 * spec.steps[0].estimated);
    CHECK(spec.interval > 0s);
    CHECK(to_seconds(spec.interval * max_occurrences) > to_seconds(spec.interval));
    CHECK(spec.first_due > wall_time{});
    CHECK(spec.submitted > wall_time{});
    CHECK(spec.target_completion > 0s);
    CHECK(to_seconds(spec.target_completion * 3) > to_seconds(spec.target_completion));
}

TEST_CASE("Times of a guard's report that are out of range are cut", "[ranges]") {
    wire::WorkloadReport message;
    message.set_host("h");
    message.set_lease_left_ms(odd_number);
    message.set_lists_age_ms(odd_number);
    message.set_worker_age_ms(odd_number);
    message.mutable_previous_worker()->set_worker("w");
    message.set_previous_lists_age_ms(odd_number);
    const auto report = from_wire(message);
    CHECK(report.lease_remaining > 0s);
    CHECK(report.lists_age > 0s);
    CHECK(report.worker_age > 0s);
    REQUIRE(report.replaced);
    CHECK(report.replaced->lists_age > 0s);
}
