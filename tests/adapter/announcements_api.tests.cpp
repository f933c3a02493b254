#include "platform/announcements_api.hpp"

#include <catch2/catch.hpp>

#include "baobabrack/runtime/virtual_runtime.hpp"
#include "fakes/fake_network.hpp"
#include "platform/worker_client.hpp"
#include "support/loopback.hpp"

using namespace baobabrack;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

// A rejected path left neither a line nor a count, and a flood of bodies a line each.
TEST_CASE("Every rejected call to the announcements address is counted", "[adapter]") {
    event_runtime loop(1);
    virtual_runtime guard_loop(1);
    http_client client(loop, {});
    metrics_registry metrics;
    fakes::fake_network network(guard_loop, {});
    const auto own = network.attach("h");
    platform::worker_client worker(client, {.host = "127.0.0.1", .port = 1});
    workload::worker_guard guard({.host = workload::host_id{"h"}, .version = incarnation{1}},
                                 guard_loop, *own, worker, metrics);
    platform::announcements_api api(guard, workload::host_id{"h"}, loop, metrics);
    http_server server(loop, {}, api);
    const auto put = [&](const std::string& path, const std::string& body) {
        http_call call;
        call.to = {.host = "127.0.0.1", .port = server.port()};
        call.method = "PUT";
        call.path = path;
        call.body = body;
        call.deadline = 10s;
        std::optional<http_outcome> outcome;
        client.send(std::move(call), [&](http_outcome result) { outcome = std::move(result); });
        REQUIRE(run_until(loop, [&] { return outcome.has_value(); }));
        return outcome->response.status;
    };
    CHECK(put("/v1/elsewhere", "{}") == 404);
    CHECK(put("/v1/instances/w", "{") == 400);
    CHECK(put("/v1/instances/w", "{}") == 400);
    const auto text = metrics.render();
    CHECK(text.find("baobabrack_announcements_rejected_total{status=\"404\"} 1") !=
          std::string::npos);
    CHECK(text.find("baobabrack_announcements_rejected_total{status=\"400\"} 2") !=
          std::string::npos);
}
