#include "baobabrack/workload/job_memory.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/workload.pb.h"
#include "baobabrack/workload/job_table.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;

namespace {

constexpr std::size_t mebibyte = 1UL << 20U;

job_spec make_job(const std::string& workspace, std::uint32_t tasks,
                  const std::string& queue = "q") {
    job_spec spec;
    spec.workspace = workspace_id{workspace};
    spec.queue = queue_id{queue};
    spec.steps.push_back({.tasks = tasks});
    return spec;
}

}  // namespace

TEST_CASE("The estimated memory of a job grows with its tasks and its payload", "[memory]") {
    auto spec = make_job("a", 1);
    const auto small = estimate_memory(spec);
    spec.payload = std::string(4000, 'x');
    CHECK(estimate_memory(spec) >= small + 8000);
    CHECK(estimate_memory(make_job("a", 5000)) > mebibyte);
}

TEST_CASE("Memory of jobs is returned when they are removed", "[memory]") {
    job_memory memory;
    const auto first = make_job("a", 10);
    const auto second = make_job("", 20, "a");
    memory.add(first);
    memory.add(second);
    CHECK(memory.of_owner(first) == estimate_memory(first));
    CHECK(memory.of_owner(second) == estimate_memory(second));
    memory.remove(first);
    CHECK(memory.of_owner(first) == 0);
    CHECK(memory.total() == estimate_memory(second));
    memory.remove(first);
    CHECK(memory.total() == estimate_memory(second));
}

TEST_CASE("No workspace can use the whole memory for jobs", "[memory]") {
    const job_memory_limits limits{.max_bytes = 48 * mebibyte};
    job_memory stored;
    const job_memory none;
    const auto flood = make_job("a", 5000);
    while (limits.admits(flood, stored, none)) {
        stored.add(flood);
    }
    CHECK(stored.total() <= 24 * mebibyte);
    CHECK(stored.total() > 20 * mebibyte);
    CHECK(limits.admits(make_job("b", 5000), stored, none));
    for (const auto* other : {"b", "c"}) {
        while (limits.admits(make_job(other, 5000), stored, none)) {
            stored.add(make_job(other, 5000));
        }
    }
    CHECK(stored.total() <= 48 * mebibyte);
}

TEST_CASE("Submissions that are being stored are limited too", "[memory]") {
    const job_memory_limits limits{.max_bytes = 48 * mebibyte};
    const job_memory stored;
    job_memory unfinished;
    const auto flood = make_job("a", 5000);
    while (limits.admits(flood, stored, unfinished)) {
        unfinished.add(flood);
    }
    CHECK(unfinished.total() <= 6 * mebibyte);
    CHECK(unfinished.total() > 0);
}

TEST_CASE("A job table knows the memory of its jobs", "[memory]") {
    job_table table;
    auto spec = make_job("a", 3);
    spec.id = job_id{"j"};
    const auto value = to_wire(spec).SerializeAsString();
    table.apply_intake("job/j", value, log_offset{1});
    table.apply_intake("job/j", value, log_offset{2});
    CHECK(table.memory().total() == estimate_memory(spec));
    table.apply_intake("job/j", "", log_offset{3});
    CHECK(table.memory().total() == 0);
}
