#include "baobabrack/workload/job_frontend.hpp"

#include <catch2/catch.hpp>

#include "workload/simulated_cluster.hpp"

using namespace baobabrack;
using namespace baobabrack::workload;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

const request_address caller{.host = "host", .path = "/queue/j", .key = "key"};

}  // namespace

TEST_CASE("Callers are told apart by host, path and key", "[desk]") {
    simulated_cluster world(1, {});
    world.run_for(2s);
    metrics_registry metrics;
    job_frontend desk({}, world.loop, *world.scheduler(0), world.config, metrics);
    CHECK(desk.find_route(caller).queue != nullptr);
    CHECK(desk.find_route(caller).path_suffix == "j");
    CHECK(desk.find_route({.host = "host", .path = "/queue/j", .key = "other"}).refusal.status ==
          reply_status::unknown_key);
    CHECK(desk.find_route({.host = "host", .path = "/none/j", .key = "key"}).refusal.status ==
          reply_status::unknown_queue);
    CHECK(desk.find_route({.host = "elsewhere", .path = "/queue/j", .key = "key"}).refusal.status ==
          reply_status::unknown_queue);
    CHECK(desk.ready());
}

TEST_CASE("Without a configuration that is known to be new, callers are sent away", "[desk]") {
    simulated_cluster world(2, {});
    world.run_for(2s);
    metrics_registry metrics;
    job_frontend desk({}, world.loop, *world.scheduler(0), world.config, metrics);
    world.config.known = false;
    CHECK(desk.find_route(caller).refusal.status == reply_status::not_now);
    CHECK_FALSE(desk.ready());
}

TEST_CASE("A state that may be out of date is not given as unknown", "[desk]") {
    simulated_cluster world(3, {});
    world.run_for(2s);
    metrics_registry metrics;
    job_frontend desk({}, world.loop, *world.scheduler(0), world.config, metrics);
    const auto route = desk.find_route(caller);
    CHECK(desk.job_state(route, job_id{"none"}).status == reply_status::unknown_job);
    world.store_link(0).now.silent = true;
    world.run_for(6s);
    CHECK(desk.job_state(route, job_id{"none"}).status == reply_status::not_now);
    CHECK_FALSE(desk.ready());
}

TEST_CASE("A caller is told to come back at once where others serve, later as an outage lasts",
          "[desk]") {
    simulated_cluster world(4, {});
    world.run_for(2s);
    metrics_registry metrics;
    job_frontend desk({}, world.loop, *world.scheduler(0), world.config, metrics);
    frontend_reply reply;
    const auto submit = [&](const std::string& id) {
        std::optional<frontend_reply> got;
        desk.submit(desk.find_route(caller), job_of(id, 1, 1), 3s,
                    [&](const frontend_reply& answer) { got = answer; });
        world.run_until([&] { return got.has_value(); }, 4s);
        return got.value_or(frontend_reply{});
    };
    for (unsigned at = 0; at < 3; ++at) {
        world.store_link(at).now.refuses = true;
    }
    world.run_for(1500ms);
    reply = submit("a");
    CHECK(reply.status == reply_status::not_now);
    CHECK(reply.retry_after >= 1s);
    const auto first = reply.retry_after;
    world.run_for(3s);
    reply = submit("b");
    CHECK(reply.retry_after > first);
    CHECK(reply.retry_after <= 4s);
}

TEST_CASE("A submission that is repeated after its acknowledgement is accepted as the same job",
          "[desk]") {
    simulated_cluster world(5, {});
    world.run_for(2s);
    metrics_registry metrics;
    job_frontend desk({}, world.loop, *world.scheduler(0), world.config, metrics);
    for (int repeat = 0; repeat < 2; ++repeat) {
        std::optional<frontend_reply> got;
        desk.submit(desk.find_route(caller), job_of("j", 1, 1), 3s,
                    [&](const frontend_reply& answer) { got = answer; });
        REQUIRE(world.run_until([&] { return got.has_value(); }, 3s));
        CHECK(got->status == reply_status::accepted);
        world.run_for(2s);
    }
    CHECK(world.runs_started == 1);
}
