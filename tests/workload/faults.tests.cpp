// Random faults in virtual time against the whole of schedulers, guards and workers.
#include <catch2/catch.hpp>

#include "workload/simulated_cluster.hpp"

using namespace baobabrack;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

constexpr unsigned schedulers = 3;
constexpr unsigned hosts = 4;

/// Does one random thing to a world.
void disturb(simulated_cluster& world) {
    const auto pick = [&](std::uint64_t below) {
        return static_cast<unsigned>(world.loop.random() % below);
    };
    const auto scheduler = pick(schedulers);
    const auto host = pick(hosts);
    switch (pick(14)) {
        case 0:
            world.kill_scheduler(scheduler);
            break;
        case 1:
            world.kill_guard(host);
            break;
        case 2:
            world.crash_worker(host);
            break;
        case 3:
            if (world.is_scheduler_running(scheduler)) {
                world.store_link(scheduler).now.refuses = true;
            }
            break;
        case 4:
            if (world.is_scheduler_running(scheduler)) {
                world.store_link(scheduler).now.silent = true;
            }
            break;
        case 5:
            if (world.is_scheduler_running(scheduler)) {
                world.store_link(scheduler).now.lost_answers = 0.4;
            }
            break;
        case 6:
            world.worker(host).now.late_calls = 0.3;
            break;
        case 7:
            world.worker(host).now.silent = true;
            break;
        case 8:
            world.disconnect("s" + std::to_string(scheduler), "h" + std::to_string(host));
            break;
        case 9:
            world.disconnect("s" + std::to_string(scheduler),
                             "s" + std::to_string(pick(schedulers)));
            break;
        case 12:
            world.announce_previous_instance(host);
            break;
        case 13:
            // A new guard hears the late announcement first.
            world.kill_guard(host);
            world.start_guard(host);
            world.announce_previous_instance(host);
            break;
        case 10:
            world.store.forget_history();
            break;
        default:
            world.worker(host).now.fails_all = true;
            break;
    }
}

void mend(simulated_cluster& world) {
    for (unsigned at = 0; at < schedulers; ++at) {
        if (!world.is_scheduler_running(at)) {
            world.start_scheduler(at);
        }
        world.store_link(at).now = {};
        for (unsigned other = 0; other < schedulers; ++other) {
            world.reconnect("s" + std::to_string(at), "s" + std::to_string(other));
        }
        for (unsigned host = 0; host < hosts; ++host) {
            world.reconnect("s" + std::to_string(at), "h" + std::to_string(host));
        }
    }
    for (unsigned host = 0; host < hosts; ++host) {
        if (!world.is_guard_running(host)) {
            world.start_guard(host);
        }
        world.worker(host).now = {};
    }
}

/// Plays a minute with faults that come in series and overlap, then a calm time.
void play(std::uint64_t seed) {
    INFO("seed " << seed);
    simulated_cluster world(seed, {});
    world.run_for(2s);
    std::vector<std::string> accepted;
    for (int round = 0; round < 12; ++round) {
        const auto id = "j" + std::to_string(round);
        const auto width = 1 + static_cast<std::uint32_t>(world.loop.random() % 5);
        auto job = job_of(id, width, 1 + static_cast<std::uint32_t>(world.loop.random() % 4),
                          world.loop.random() % 2 == 0);
        job.priority = static_cast<std::uint32_t>(world.loop.random() % 3);
        job.most_attempts = 1000;
        if (world.submit(job)) {
            accepted.push_back(id);
        }
        disturb(world);
        world.run_for(std::chrono::milliseconds{world.loop.random() % 2500});
        if (world.loop.random() % 3 == 0) {
            mend(world);
        }
    }
    mend(world);
    const auto all_done = [&] {
        return std::all_of(accepted.begin(), accepted.end(),
                           [&](const std::string& id) { return world.completed(id); });
    };
    CHECK(world.run_until(all_done, 60s));
    for (const auto& violation : world.violations) {
        UNSCOPED_INFO(violation);
    }
    CHECK(world.violations.empty());
}

}  // namespace

TEST_CASE("Random faults break no promise, and every accepted job ends", "[workload][faults]") {
    for (std::uint64_t seed = 1; seed <= 60; ++seed) {
        play(seed);
    }
}
