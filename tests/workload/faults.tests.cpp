// Injects random faults into a simulated cluster of schedulers, guards and workers.
#include <catch2/catch.hpp>

#include "workload/simulated_cluster.hpp"

using namespace baobabrack;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr unsigned scheduler_count = 3;
constexpr unsigned host_count = 4;

/// Injects one random fault into a cluster.
void inject_random_fault(simulated_cluster& cluster) {
    const auto random_below = [&](std::uint64_t limit) {
        return static_cast<unsigned>(cluster.loop.random() % limit);
    };
    const auto scheduler = random_below(scheduler_count);
    const auto host = random_below(host_count);
    switch (random_below(14)) {
        case 0:
            cluster.kill_scheduler(scheduler);
            break;
        case 1:
            cluster.kill_guard(host);
            break;
        case 2:
            cluster.crash_worker(host);
            break;
        case 3:
            if (cluster.is_scheduler_running(scheduler)) {
                cluster.store_link(scheduler).active_faults.refuses = true;
            }
            break;
        case 4:
            if (cluster.is_scheduler_running(scheduler)) {
                cluster.store_link(scheduler).active_faults.silent = true;
            }
            break;
        case 5:
            if (cluster.is_scheduler_running(scheduler)) {
                cluster.store_link(scheduler).active_faults.lost_answers = 0.4;
            }
            break;
        case 6:
            cluster.worker(host).active_faults.late_calls = 0.3;
            break;
        case 7:
            cluster.worker(host).active_faults.silent = true;
            break;
        case 8:
            cluster.disconnect("s" + std::to_string(scheduler), "h" + std::to_string(host));
            break;
        case 9:
            cluster.disconnect("s" + std::to_string(scheduler),
                               "s" + std::to_string(random_below(scheduler_count)));
            break;
        case 12:
            cluster.announce_previous_instance(host);
            break;
        case 13:
            // The late announcement is the first one that the restarted guard receives.
            cluster.kill_guard(host);
            cluster.start_guard(host);
            cluster.announce_previous_instance(host);
            break;
        case 10:
            cluster.store.expire_history();
            break;
        default:
            cluster.worker(host).active_faults.fail_all_runs = true;
            break;
    }
}

/// Injects one random fault of the paths between processes: a worker that restarts under its id
/// without being announced, or messages that pass in one direction only.
void inject_random_path_fault(simulated_cluster& cluster) {
    const auto random_below = [&](std::uint64_t limit) {
        return static_cast<unsigned>(cluster.loop.random() % limit);
    };
    const auto scheduler = "s" + std::to_string(random_below(scheduler_count));
    const auto host = random_below(host_count);
    const auto host_name = "h" + std::to_string(host);
    switch (random_below(5)) {
        case 0:
            cluster.drop_announcements(host, true);
            break;
        case 1:
        case 2:
            cluster.drop_announcements(host, true);
            cluster.crash_worker(host, std::chrono::milliseconds{random_below(500)});
            break;
        case 3:
            cluster.cut(scheduler, host_name);
            break;
        default:
            cluster.cut(host_name, scheduler);
            break;
    }
}

void clear_faults(simulated_cluster& cluster) {
    for (unsigned index = 0; index < scheduler_count; ++index) {
        if (!cluster.is_scheduler_running(index)) {
            cluster.start_scheduler(index);
        }
        cluster.store_link(index).active_faults = {};
        for (unsigned other = 0; other < scheduler_count; ++other) {
            cluster.reconnect("s" + std::to_string(index), "s" + std::to_string(other));
        }
        for (unsigned host = 0; host < host_count; ++host) {
            const auto scheduler_name = "s" + std::to_string(index);
            const auto host_name = "h" + std::to_string(host);
            cluster.reconnect(scheduler_name, host_name);
            cluster.restore(scheduler_name, host_name);
            cluster.restore(host_name, scheduler_name);
        }
    }
    for (unsigned host = 0; host < host_count; ++host) {
        cluster.drop_announcements(host, false);
        if (!cluster.is_guard_running(host)) {
            cluster.start_guard(host);
        }
        cluster.worker(host).active_faults = {};
    }
}

/// Runs a cluster with overlapping faults, then clears them and waits for all accepted jobs.
///
/// @param inject injects one fault
void run_seed(std::uint64_t seed, void (*inject)(simulated_cluster&)) {
    INFO("seed " << seed);
    simulated_cluster cluster(seed, {});
    cluster.run_for(2s);
    std::vector<std::string> accepted;
    for (int round = 0; round < 12; ++round) {
        const auto id = "j" + std::to_string(round);
        const auto task_count = 1 + static_cast<std::uint32_t>(cluster.loop.random() % 5);
        auto job = job_of(id, task_count, 1 + static_cast<std::uint32_t>(cluster.loop.random() % 4),
                          cluster.loop.random() % 2 == 0);
        job.priority = static_cast<std::uint32_t>(cluster.loop.random() % 3);
        job.most_attempts = 1000;
        if (cluster.submit(job)) {
            accepted.push_back(id);
        }
        inject(cluster);
        cluster.run_for(std::chrono::milliseconds{cluster.loop.random() % 2500});
        if (cluster.loop.random() % 3 == 0) {
            clear_faults(cluster);
        }
    }
    clear_faults(cluster);
    const auto all_done = [&] {
        return std::all_of(accepted.begin(), accepted.end(),
                           [&](const std::string& id) { return cluster.completed(id); });
    };
    CHECK(cluster.run_until(all_done, 60s));
    for (const auto& violation : cluster.violations) {
        UNSCOPED_INFO(violation);
    }
    CHECK(cluster.violations.empty());
}

}  // namespace

TEST_CASE("Invariants hold under random faults, and every accepted job completes",
          "[workload][faults]") {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        run_seed(seed, inject_random_fault);
    }
}

TEST_CASE("Invariants hold while workers restart unannounced and messages pass one way only",
          "[workload][faults]") {
    const auto seeds = static_cast<std::uint64_t>(seed_count(60));
    for (std::uint64_t seed = 1; seed <= seeds; ++seed) {
        run_seed(seed, [](simulated_cluster& cluster) {
            if (cluster.loop.random() % 4 == 0) {
                inject_random_fault(cluster);
            } else {
                inject_random_path_fault(cluster);
            }
        });
    }
}
