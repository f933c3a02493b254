#include "platform/job_api.hpp"

#include <catch2/catch.hpp>

#include "support/loopback.hpp"
#include "workload/simulated_cluster.hpp"

using namespace baobabrack;
using namespace baobabrack::testing;
using namespace std::chrono_literals;

namespace {

/// The callers' address of a scheduler on loopback. The scheduler itself is simulated.
class api_fixture {
public:
    api_fixture() : cluster(61, {}) {
        cluster.config.config.queues.front().host = "127.0.0.1";
        cluster.run_for(2s);
        frontend.emplace(workload::job_frontend::options{}, cluster.loop, *cluster.scheduler(0),
                         cluster.config, metrics);
        api.emplace(*frontend);
        server.emplace(loop, http_server::options{}, *api);
    }

    /// @return the status of the response
    int call(const std::string& method, const std::string& path, const std::string& key,
             const std::string& body = "") {
        http_call sent;
        sent.to = {.host = "127.0.0.1", .port = server->port()};
        sent.method = method;
        sent.path = path;
        sent.headers = {{"Api-Key", key}};
        sent.body = body;
        sent.deadline = 10s;
        std::optional<http_outcome> outcome;
        client.send(std::move(sent), [&](http_outcome result) { outcome = std::move(result); });
        REQUIRE(run_until(loop, [&] { return outcome.has_value(); }));
        return outcome->response.status;
    }

    /// @return whether the number of calls of a kind with an answer is `count`
    bool counted(const std::string& kind, const std::string& answer, int count) const {
        const auto line = "baobabrack_calls_total{call=\"" + kind + "\",answer=\"" + answer +
                          "\"} " + std::to_string(count) + "\n";
        return metrics.render().find(line) != std::string::npos;
    }

    simulated_cluster cluster;
    metrics_registry metrics;
    std::optional<workload::job_frontend> frontend;
    std::optional<platform::job_api> api;
    event_runtime loop{1};
    std::optional<http_server> server;
    http_client client{loop, {}};
};

}  // namespace

// Calls that were rejected before they reached the frontend left neither a line nor a count.
TEST_CASE("Every rejected call is counted by its kind and answer", "[job_api]") {
    api_fixture fixture;
    const std::string path = "/queue/5c0e7a21d94b36f8";
    CHECK(fixture.call("POST", path, "wrong", "{}") == 401);
    CHECK(fixture.call("GET", path, "wrong") == 401);
    CHECK(fixture.call("DELETE", path, "wrong") == 401);
    CHECK(fixture.counted("submit", "unknown_key", 1));
    CHECK(fixture.counted("state", "unknown_key", 1));
    CHECK(fixture.counted("cancel", "unknown_key", 1));
    CHECK(fixture.call("GET", "/none/5c0e7a21d94b36f8", "key") == 404);
    CHECK(fixture.call("GET", "/queue/short", "key") == 404);
    CHECK(fixture.counted("state", "unknown_queue", 2));
    CHECK(fixture.call("POST", path, "key", "{") == 400);
    CHECK(fixture.call("POST", path, "key", "{}") == 400);
    CHECK(fixture.counted("submit", "invalid", 2));
    CHECK(fixture.call("PUT", path, "key") == 405);
    CHECK(fixture.counted("other", "invalid", 1));
    fixture.cluster.config.available = false;
    CHECK(fixture.call("POST", path, "key", "{}") == 503);
    CHECK(fixture.counted("submit", "not_now", 1));
}
