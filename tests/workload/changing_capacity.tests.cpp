// Workers whose capacity shrinks and grows while runs start, run and stop.
#include <catch2/catch.hpp>

#include "workload/simulated_cluster.hpp"

using namespace baobabrack;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

resources share_of(const resources& full, std::uint32_t percent) {
    return {.cpu = cpu_millicores{full.cpu.get() / 100 * percent},
            .memory = memory_mib{full.memory.get() / 100 * percent},
            .accelerators = accelerator_count{full.accelerators.get() * percent / 100}};
}

workload::job_spec short_job(const std::string& id, std::uint32_t tasks,
                             std::uint32_t accelerators) {
    return job_of(id, tasks, accelerators);
}

}  // namespace

TEST_CASE("No run starts beyond a capacity that has shrunk, and all jobs end once it has grown",
          "[workload][capacity]") {
    const auto seed = GENERATE(range(1, 1 + seed_count(40)), value(48), value(549));
    INFO("seed " << seed);
    simulated_cluster cluster(static_cast<std::uint64_t>(seed), {.hosts = 4, .run_time = 2s});
    cluster.run_for(2s);
    const auto full = cluster.worker(0).capacity();
    std::vector<std::string> jobs;
    for (int round = 0; round < 15; ++round) {
        const auto host = static_cast<unsigned>(cluster.loop.random() % 4);
        jobs.push_back("j" + std::to_string(round));
        auto job =
            short_job(jobs.back(), 1 + cluster.loop.random() % 6, 1 + cluster.loop.random() % 4);
        job.steps.front().gang = cluster.loop.random() % 4 == 0;
        job.priority = static_cast<std::uint32_t>(cluster.loop.random() % 3);
        // A scheduler that has just been started may refuse.
        REQUIRE(cluster.run_until([&] { return cluster.submit(job); }, 2s));
        cluster.worker(host).set_capacity(
            share_of(full, static_cast<std::uint32_t>(cluster.loop.random() % 5) * 25));
        switch (cluster.loop.random() % 6) {
            case 0:
                cluster.kill_guard(host);
                cluster.start_guard(host);
                break;
            case 1:
                cluster.drop_announcements(host, true);
                break;
            case 2:
                cluster.worker(host).active_faults.late_calls = 0.3;
                break;
            case 3: {
                const auto leader = cluster.leader();
                if (leader != nullptr) {
                    const auto index = cluster.leader_index();
                    cluster.kill_scheduler(index);
                    cluster.start_scheduler(index);
                }
                break;
            }
            case 4:
                REQUIRE(cluster.cancel(jobs[cluster.loop.random() % jobs.size()]));
                break;
            default:
                break;
        }
        cluster.run_for(std::chrono::milliseconds{cluster.loop.random() % 3000});
        if (cluster.loop.random() % 3 == 0) {
            cluster.drop_announcements(host, false);
            cluster.worker(host).active_faults = {};
        }
    }
    for (unsigned host = 0; host < 4; ++host) {
        cluster.worker(host).set_capacity(full);
        cluster.drop_announcements(host, false);
        cluster.worker(host).active_faults = {};
    }
    const auto all_ended = [&] {
        return std::all_of(jobs.begin(), jobs.end(), [&](const std::string& id) {
            return workload::has_ended(*cluster.phase(id));
        });
    };
    CHECK(cluster.run_until(all_ended, 60s));
    for (const auto& violation : cluster.violations) {
        UNSCOPED_INFO(violation);
    }
    CHECK(cluster.violations.empty());
}

TEST_CASE("Nothing starts on a capacity that has not been announced for a while",
          "[workload][capacity]") {
    simulated_cluster cluster(1, {.hosts = 1, .run_time = 2s});
    cluster.run_for(2s);
    const auto full = cluster.worker(0).capacity();
    cluster.drop_announcements(0, true);
    cluster.worker(0).set_capacity(share_of(full, 25));
    cluster.run_for(4s);
    REQUIRE(cluster.submit(short_job("j", 8, 1)));
    cluster.run_for(5s);
    CHECK(cluster.violations.empty());
    CHECK(cluster.runs_started == 0);
    cluster.drop_announcements(0, false);
    CHECK(cluster.run_until([&] { return cluster.completed("j"); }, 20s));
    CHECK(cluster.violations.empty());
}

TEST_CASE("A capacity that grows is used at the next announcement", "[workload][capacity]") {
    simulated_cluster cluster(1, {.hosts = 1, .run_time = 20s});
    const auto full = cluster.worker(0).capacity();
    cluster.worker(0).set_capacity(share_of(full, 0));
    cluster.run_for(3s);
    REQUIRE(cluster.submit(short_job("j", 8, 1)));
    cluster.run_for(1s);
    CHECK(cluster.runs_started == 0);
    cluster.worker(0).set_capacity(full);
    // The fake workers announce themselves every 700 ms.
    CHECK(cluster.run_until([&] { return cluster.runs_started == 8; }, 900ms));
}

TEST_CASE(
    "Lasting tasks and gangs restart within the capacity that is left, and all run again later",
    "[workload][capacity]") {
    const auto seed = GENERATE(range(1, 1 + seed_count(20)));
    INFO("seed " << seed);
    simulated_cluster cluster(static_cast<std::uint64_t>(seed), {.hosts = 4, .run_time = 1000s});
    cluster.run_for(2s);
    const auto full = cluster.worker(0).capacity();
    auto lasting = short_job("lasting", 6, 2);
    lasting.steps.front().long_running = true;
    REQUIRE(cluster.submit(lasting));
    auto gang = short_job("gang", 4, 3);
    gang.steps.front().gang = true;
    gang.steps.front().estimated = 1000s;
    REQUIRE(cluster.submit(gang));
    const auto running = [&] {
        std::size_t runs = 0;
        for (unsigned host = 0; host < 4; ++host) {
            runs += cluster.worker(host).running();
        }
        return runs;
    };
    REQUIRE(cluster.run_until([&] { return running() == 10; }, 5s));
    for (int round = 0; round < 6; ++round) {
        const auto host = static_cast<unsigned>(cluster.loop.random() % 4);
        cluster.worker(host).set_capacity(
            share_of(full, static_cast<std::uint32_t>(cluster.loop.random() % 3) * 25));
        cluster.drop_announcements((host + 1) % 4, cluster.loop.random() % 3 == 0);
        cluster.run_for(std::chrono::milliseconds{cluster.loop.random() % 1500});
        cluster.crash_worker(static_cast<unsigned>(cluster.loop.random() % 4), 1s);
        cluster.run_for(3s);
    }
    for (unsigned host = 0; host < 4; ++host) {
        cluster.worker(host).set_capacity(full);
        cluster.drop_announcements(host, false);
    }
    CHECK(cluster.run_until([&] { return running() == 10; }, 30s));
    CHECK(cluster.phase("lasting") == workload::job_phase::active);
    CHECK(cluster.violations.empty());
}
