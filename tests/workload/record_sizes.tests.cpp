#include "baobabrack/keyed/record_sizes.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/workload.pb.h"
#include "baobabrack/workload/progress_parts.hpp"
#include "workload/simulated_cluster.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

/// A cluster that has been up long enough for its guards to have reported.
class sized_cluster : public simulated_cluster {
public:
    explicit sized_cluster(store_limits limits = {}, duration run_time = 50ms)
        : simulated_cluster(21, {.hosts = 8, .run_time = run_time}) {
        store.limits = limits;
        run_for(2s);
    }

    /// @return whether all these jobs are completed
    bool all_completed(const std::vector<std::string>& ids) {
        return std::all_of(ids.begin(), ids.end(),
                           [&](const std::string& id) { return completed(id); });
    }
};

/// @return a job whose occurrences are all due
job_spec overdue_job(const simulated_cluster& cluster, std::uint32_t occurrences,
                     std::uint32_t tasks) {
    auto job = job_of("scheduled", tasks, 1);
    job.occurrences = occurrences;
    job.first_due = cluster.loop.wall_now() - 3600s;
    job.interval = 1s;
    return job;
}

std::size_t largest_record(simulated_cluster& cluster) {
    std::size_t largest = 0;
    for (const auto& record : cluster.store.at(topic_id{"keyed.baobabrack-progress"}).records) {
        largest = std::max(largest, framed_size(record));
    }
    return largest;
}

}  // namespace

// Occurrences that were due at once made the progress of their job larger than the store takes, so
// that no scheduler could store anything for any job.
TEST_CASE("A job with thousands of due occurrences does not stop the jobs of others",
          "[workload][sizes]") {
    sized_cluster cluster;
    REQUIRE(cluster.submit(overdue_job(cluster, 2'500, 55)));
    cluster.run_for(1s);
    const auto* leader = cluster.leader();
    auto other = job_of("other", 1, 1);
    other.priority = 0;
    other.workspace = workspace_id{"other"};
    REQUIRE(cluster.submit(other));
    CHECK(cluster.run_until([&] { return cluster.completed("other"); }, 2s));
    CHECK(cluster.leader() == leader);
    CHECK(cluster.runs_started > 100);
    CHECK(largest_record(cluster) <= cluster.store.limits.record_bytes);
}

TEST_CASE("Due occurrences that have to wait all run, also under another leader",
          "[workload][sizes]") {
    sized_cluster cluster({.record_bytes = 4'096, .request_bytes = 16'384});
    REQUIRE(cluster.submit(overdue_job(cluster, 100, 10)));
    cluster.run_for(400ms);
    cluster.kill_scheduler(cluster.leader_index());
    CHECK(cluster.run_until([&] { return cluster.completed("scheduled"); }, 30s));
    CHECK(cluster.runs_of.size() == 1'000);
    CAPTURE(cluster.violations);
    CHECK(cluster.violations.empty());
    CHECK(largest_record(cluster) <= 4'096);
}

TEST_CASE("Changes of many jobs at once are stored in several appends", "[workload][sizes]") {
    sized_cluster cluster({.record_bytes = 2'048, .request_bytes = 4'096}, 3s);
    std::vector<std::string> ids;
    for (int number = 0; number < 60; ++number) {
        ids.push_back("j" + std::to_string(number));
    }
    const auto* leader = cluster.leader();
    for (const auto& id : ids) {
        REQUIRE(cluster.submit(job_of(id, 8, 0)));
    }
    REQUIRE(cluster.run_until([&] { return cluster.runs_started == 480; }, 5s));
    // All workers crash together, so that all jobs change at once.
    SECTION("the leader goes on") {
        for (unsigned host = 0; host < 8; ++host) {
            cluster.crash_worker(host, 100ms);
        }
        CHECK(cluster.run_until([&] { return cluster.all_completed(ids); }, 60s));
        CHECK(cluster.leader() == leader);
    }
    SECTION("another one takes over in between") {
        for (unsigned host = 0; host < 8; ++host) {
            cluster.crash_worker(host, 100ms);
        }
        cluster.run_for(110ms);
        cluster.kill_scheduler(cluster.leader_index());
        CHECK(cluster.run_until([&] { return cluster.all_completed(ids); }, 60s));
    }
    CAPTURE(cluster.violations);
    CHECK(cluster.violations.empty());
}

// A store that refuses everything is not the fault of a job.
TEST_CASE("No job is given up while the store refuses all appends as invalid",
          "[workload][sizes]") {
    sized_cluster cluster({}, 1s);
    REQUIRE(cluster.submit(job_of("j", 4, 1)));
    cluster.run_for(500ms);
    cluster.store.limits = {.record_bytes = 1, .request_bytes = 1};
    for (unsigned index = 0; index < 3; ++index) {
        cluster.store_link(index).announced_limits = store_limits{};
    }
    cluster.run_for(3s);
    cluster.store.limits = {};
    CHECK(cluster.run_until([&] { return cluster.completed("j"); }, 20s));
    CAPTURE(cluster.violations);
    CHECK(cluster.violations.empty());
}

// However the record came to be too large: here the limits of the store became smaller.
TEST_CASE("A job whose state cannot be stored is given up alone", "[workload][sizes]") {
    sized_cluster cluster({}, 3s);
    // One task ends before the others, so that the state of the job has to be stored again.
    cluster.run_times[{.step = {.job = job_id{"large"}}, .index = 0}] = 1500ms;
    REQUIRE(cluster.submit(job_of("large", 400, 0)));
    REQUIRE(cluster.submit(job_of("small", 2, 0)));
    cluster.run_for(1s);
    REQUIRE(cluster.runs_started > 2);
    const auto* leader = cluster.leader();
    cluster.store.limits = {.record_bytes = 2'048, .request_bytes = 65'536};
    SECTION("the limits are known") {
    }
    SECTION("the leader learns from the store's refusal") {
        for (unsigned index = 0; index < 3; ++index) {
            cluster.store_link(index).announced_limits = store_limits{};
        }
    }
    CHECK(cluster.run_until([&] { return cluster.completed("small"); }, 10s));
    CHECK(cluster.run_until([&] { return cluster.phase("large") == job_phase::failed; }, 10s));
    REQUIRE(cluster.submit(job_of("later", 8, 1)));
    CHECK(cluster.run_until([&] { return cluster.completed("later"); }, 10s));
    CHECK(cluster.leader() == leader);
    CAPTURE(cluster.violations);
    CHECK(cluster.violations.empty());
    cluster.run_for(1s);
    for (unsigned host = 0; host < 8; ++host) {
        CHECK(cluster.worker(host).running() == 0);
    }
}

TEST_CASE("Progress is stored with as much detail as fits", "[sizes]") {
    const auto spec = job_of("j", 100, 1);
    job_progress progress{
        .phase = job_phase::active, .occurrences = {new_occurrence(spec, 0)}, .ended = {}};
    for (auto& task : progress.occurrences[0].steps[0]) {
        task.phase = task_phase::assigned;
        task.run = run_number{1};
        task.place = {.host = host_id{"h"}, .worker = worker_id{"w"}, .version = incarnation{1}};
        task.checkpoint = std::string(100, 'c');
        task.crashes.crashes = 2;
        task.crashes.last_host = host_id{std::string(20, 'h')};
    }
    const auto size_of = [&](progress_detail detail) {
        return to_wire(progress, detail).ByteSizeLong();
    };
    for (const auto detail :
         {progress_detail::full, progress_detail::no_checkpoints, progress_detail::states_only}) {
        const auto encoded = encode_progress(progress, size_of(detail));
        REQUIRE(encoded);
        CHECK(encoded->detail == detail);
        CHECK(encoded->value.size() == size_of(detail));
    }
    CHECK_FALSE(encode_progress(progress, size_of(progress_detail::states_only) - 1));
    wire::WorkloadProgress record;
    REQUIRE(record.ParseFromString(
        encode_progress(progress, size_of(progress_detail::states_only))->value));
    const auto restored = from_wire(spec, record);
    CHECK(restored.occurrences[0].steps[0][99].phase == task_phase::assigned);
    CHECK(restored.occurrences[0].steps[0][99].place == progress.occurrences[0].steps[0][99].place);
}

TEST_CASE("A job whose records the store would not take is invalid", "[sizes]") {
    constexpr std::size_t limit = 10'000;
    auto job = job_of("j", 100, 1);
    CHECK(check_storable(job, limit));
    SECTION("the submission") {
        job.payload = std::string(limit, 'p');
        CHECK_FALSE(check_storable(job, limit));
    }
    SECTION("the tasks") {
        job.steps.front().tasks = 200;
        CHECK_FALSE(check_storable(job, limit));
    }
    SECTION("the occurrences") {
        job.occurrences = 500;
        CHECK(check_storable(job, limit));
        job.occurrences = 1'000;
        CHECK_FALSE(check_storable(job, limit));
    }
}

TEST_CASE("The parts of a batch fit, keep their order and acknowledge ends last", "[sizes]") {
    constexpr std::size_t max_bytes = 300;
    progress_parts parts(max_bytes);
    for (int number = 0; number < 10; ++number) {
        const job_id id{"j" + std::to_string(number)};
        parts.add({.job = id, .progress = {}}, {.key = id.get(), .value = std::string(100, 'v')});
    }
    parts.add({.key = "last", .value = ""});
    const worker_instance worker{.host = host_id{"h"}};
    const auto divided = parts.finish({{worker, 7}});
    CHECK(divided.size() == 5);
    std::vector<std::string> keys;
    for (const auto& part : divided) {
        CHECK(framed_size(part.records) <= max_bytes);
        CHECK(part.batch.applied_ends.empty() == (&part != &divided.back()));
        for (const auto& record : part.records) {
            keys.push_back(record.key);
        }
    }
    CHECK(keys == std::vector<std::string>{"j0", "j1", "j2", "j3", "j4", "j5", "j6", "j7", "j8",
                                           "j9", "last"});
    CHECK(progress_parts(max_bytes).finish({}).size() == 1);
}

TEST_CASE("The halves of a part have its records, changes and ends", "[sizes]") {
    progress_part part;
    for (const std::string key : {"a", "b", "c"}) {
        part.records.push_back({.key = key, .value = ""});
    }
    part.batch.changes.push_back({.job = job_id{"a"}, .progress = {}});
    part.batch.changes.push_back({.job = job_id{"b"}, .progress = {}});
    part.batch.applied_ends = {{worker_instance{.host = host_id{"h"}}, 7}};
    const auto [first, second] = halve(part);
    CHECK(first.records == std::vector<keyed_record>{part.records[0]});
    CHECK(second.records == std::vector<keyed_record>{part.records[1], part.records[2]});
    REQUIRE(first.batch.changes.size() == 1);
    REQUIRE(second.batch.changes.size() == 1);
    CHECK(second.batch.changes[0].job == job_id{"b"});
    CHECK(first.batch.applied_ends.empty());
    CHECK(second.batch.applied_ends == part.batch.applied_ends);
}
