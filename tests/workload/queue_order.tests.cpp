#include "baobabrack/workload/queue_order.hpp"

#include <catch2/catch.hpp>

#include "workload/scheduler_fixture.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

/// @return a job of one 2 s task whose objective is 4 s
job_spec short_job(const std::string& id, std::uint32_t accelerators = 1) {
    auto job = job_of(id, 1, accelerators);
    job.steps.front().estimated = 2s;
    job.slack_factor = 1;
    job.target_completion = 2s;
    job.submitted = wall_time{1'000s};
    return job;
}

job_progress begun(const job_spec& spec, std::uint32_t occurrence = 0) {
    job_progress progress;
    progress.occurrences.push_back(new_occurrence(spec, occurrence));
    return progress;
}

double rank_at(const job_spec& spec, duration age) {
    return rank_of(spec, begun(spec),
                   spec.submitted + std::chrono::duration_cast<std::chrono::milliseconds>(age));
}

}  // namespace

TEST_CASE("Of the jobs that can be in time the shortest work comes first", "[queue_order]") {
    CHECK(rank_at(short_job("small", 1), 0s) < rank_at(short_job("large", 8), 0s));
}

TEST_CASE("A job past its objective comes after those that are not", "[queue_order]") {
    CHECK(rank_at(short_job("late", 1), 4100ms) > rank_at(short_job("in time", 8), 3900ms));
}

TEST_CASE("A job without value left comes last", "[queue_order]") {
    CHECK(rank_at(short_job("old", 1), 13s) > rank_at(short_job("late", 8), 11s));
}

// The objective of each time of a scheduled job counts from its due time. Counted from the
// submission, later times seemed to have no value.
TEST_CASE("The age of a scheduled job counts from when its occurrence is due", "[queue_order]") {
    auto spec = short_job("scheduled");
    spec.occurrences = 4;
    spec.first_due = spec.submitted + std::chrono::milliseconds{1'000};
    spec.interval = 10s;
    const auto third_due = spec.first_due + std::chrono::milliseconds{20'000};
    CHECK(rank_of(spec, begun(spec, 2), third_due) == rank_at(short_job("fresh"), 0s));
}
