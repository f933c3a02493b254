#include <catch2/catch.hpp>

#include "baobabrack/transport/http_log_service.hpp"
#include "baobabrack/transport/http_target_service.hpp"
#include "baobabrack/transport/http_worker_service.hpp"
#include "support/loopback.hpp"

namespace baobabrack {
namespace {

using testing::function_handler;
using testing::raw_server;
using testing::run_until;
using namespace std::chrono_literals;

constexpr std::uint64_t seed = 1;

struct fixture {
    event_runtime loop{seed};
    http_client client{loop, {}};
    http_request received;
    http_response response;
    function_handler handler{[this](http_request request, const http_responder& responder) {
        received = std::move(request);
        responder.respond(response);
    }};
    http_server server{loop, {}, handler};

    http_endpoint endpoint() const { return {.host = "127.0.0.1", .port = server.port()}; }
};

http_response body_of(const google::protobuf::MessageLite& message) {
    return {.status = 200, .headers = {}, .body = message.SerializeAsString()};
}

template <typename Value>
using outcome_of = std::optional<result<Value>>;

outcome_of<log_offset> append(fixture& test, const http_endpoint& endpoint) {
    http_log_service log{test.client, {.endpoint = endpoint, .append_timeout = 300ms}};
    outcome_of<log_offset> outcome;
    log.append("records", [&](result<log_offset> reply) { outcome.emplace(std::move(reply)); });
    run_until(test.loop, [&] { return outcome.has_value(); });
    return outcome;
}

outcome_of<log_page> read(fixture& test, const http_endpoint& endpoint) {
    http_log_service log{test.client,
                         {.endpoint = endpoint, .read_wait = 50ms, .read_timeout = 300ms}};
    outcome_of<log_page> outcome;
    log.read(log_offset{7}, 100,
             [&](result<log_page> reply) { outcome.emplace(std::move(reply)); });
    run_until(test.loop, [&] { return outcome.has_value(); });
    return outcome;
}

TEST_CASE("the log service appends and reads over HTTP", "[services]") {
    fixture test;
    SECTION("append") {
        wire::AppendReply reply;
        reply.set_offset(41);
        test.response = body_of(reply);
        const auto offset = append(test, test.endpoint());
        REQUIRE(offset->has_value());
        CHECK(offset->value() == log_offset{41});
        CHECK(test.received.method == "POST");
        CHECK(test.received.path == "/log/append");
        CHECK(test.received.body == "records");
    }
    SECTION("read") {
        wire::ReadReply reply;
        reply.set_oldest(3);
        reply.set_end(9);
        auto& entry = *reply.add_entries();
        entry.set_offset(7);
        entry.set_payload("records");
        test.response = body_of(reply);
        const auto page = read(test, test.endpoint());
        REQUIRE(page->has_value());
        CHECK(page->value().oldest == log_offset{3});
        CHECK(page->value().end == log_offset{9});
        REQUIRE(page->value().entries.size() == 1);
        CHECK(page->value().entries[0].payload == "records");
        CHECK(test.received.path == "/log/read");
        CHECK(test.received.parameter("from") == "7");
        CHECK(test.received.parameter("most") == "100");
        CHECK(test.received.parameter("wait_ms") == "50");
    }
}

TEST_CASE("a failure of the log reports whether the append may have taken effect", "[services]") {
    fixture test;
    SECTION("a status of refusal means no effect") {
        const auto [status, kind] = GENERATE(table<int, failure_kind>({
            {410, failure_kind::expired},
            {429, failure_kind::exhausted},
            {503, failure_kind::unavailable},
        }));
        test.response = {.status = status, .headers = {}, .body = ""};
        CHECK(append(test, test.endpoint())->error().kind == kind);
        CHECK(read(test, test.endpoint())->error().kind == kind);
    }
    SECTION("connection refused") {
        const auto endpoint = raw_server{test.loop, {}}.endpoint();
        CHECK(append(test, endpoint)->error().kind == failure_kind::unavailable);
        CHECK(read(test, endpoint)->error().kind == failure_kind::unavailable);
    }
    SECTION(
        "after a lost, late, unexpected or undecodable response the append may have taken effect") {
        raw_server lost{test.loop, {}};
        CHECK(append(test, lost.endpoint())->error().kind == failure_kind::timed_out);
        raw_server silent{test.loop, {.reply = "", .close_after_reply = false}};
        CHECK(append(test, silent.endpoint())->error().kind == failure_kind::timed_out);
        test.response = {.status = 500, .headers = {}, .body = ""};
        CHECK(append(test, test.endpoint())->error().kind == failure_kind::timed_out);
        test.response = {.status = 200, .headers = {}, .body = "\xff\xff"};
        CHECK(append(test, test.endpoint())->error().kind == failure_kind::timed_out);
    }
}

TEST_CASE("workers are called at their own endpoint", "[services]") {
    fixture test;
    std::optional<http_endpoint> endpoint = test.endpoint();
    http_worker_service workers{
        test.client, {.timeout = 300ms}, [&](const worker_id&) { return endpoint; }};
    outcome_of<wire::WorkerReply> outcome;
    wire::WorkerCall call;
    call.set_worker_incarnation(4);
    call.mutable_stop()->mutable_task()->set_job("fit");
    const auto run = [&] {
        workers.call(worker_id{"rack 1/w1"}, call,
                     [&](result<wire::WorkerReply> reply) { outcome.emplace(std::move(reply)); });
        run_until(test.loop, [&] { return outcome.has_value(); });
    };

    SECTION("a refusal by the worker is passed on as a reply") {
        wire::WorkerReply reply;
        reply.set_status(wire::WORKER_STALE_TOKEN);
        test.response = body_of(reply);
        run();
        REQUIRE(outcome->has_value());
        CHECK(outcome->value().status() == wire::WORKER_STALE_TOKEN);
        CHECK(test.received.segments == std::vector<std::string>{"workers", "rack 1/w1", "call"});
        CHECK(test.received.body == call.SerializeAsString());
    }
    SECTION("a worker without an endpoint is unavailable") {
        endpoint.reset();
        run();
        CHECK(outcome->error().kind == failure_kind::unavailable);
    }
    SECTION("after a lost response the call may have taken effect") {
        const raw_server lost{test.loop, {}};
        endpoint = lost.endpoint();
        run();
        CHECK(outcome->error().kind == failure_kind::timed_out);
    }
}

TEST_CASE("the inventory returns the list of workers", "[services]") {
    fixture test;
    wire::WorkerList list;
    list.add_workers()->set_worker("w1");
    test.response = body_of(list);
    test.response.headers.push_back({"ETag", "\"7\""});
    http_worker_inventory inventory{test.client, test.endpoint()};
    outcome_of<wire::WorkerList> outcome;
    inventory.list([&](result<wire::WorkerList> reply) { outcome.emplace(std::move(reply)); });
    REQUIRE(run_until(test.loop, [&] { return outcome.has_value(); }));
    REQUIRE(outcome->has_value());
    CHECK(outcome->value().workers(0).worker() == "w1");
    CHECK(test.received.path == "/workers");
    CHECK(test.received.header("If-None-Match").empty());

    SECTION("an unchanged list is not transferred again") {
        test.response = {.status = 304};
        outcome.reset();
        inventory.list([&](result<wire::WorkerList> reply) { outcome.emplace(std::move(reply)); });
        REQUIRE(run_until(test.loop, [&] { return outcome.has_value(); }));
        CHECK(test.received.header("If-None-Match") == "\"7\"");
        REQUIRE(outcome->has_value());
        CHECK(outcome->value().workers(0).worker() == "w1");
    }
}

TEST_CASE("a response of a target must carry the id of its request", "[services]") {
    fixture test;
    const target_id target{"t1"};
    http_target_service targets{test.client,
                                {.request_id_prefix = "entry-1-5"},
                                [&](const target_id&) { return std::optional{test.endpoint()}; }};
    const target_request request{
        .id = 12,
        .workspace = workspace_id{"halls"},
        .request_class = "sort",
        .headers = {{"Content-Type", "text/plain"}, {"x-request-id", "forged"}},
        .body = "straw",
        .deadline = 2s,
        .claim = claim_token{.key = idempotency_key{"lot-1"}, .offset = log_offset{99}}};
    std::optional<target_reply> reply;
    const auto run = [&] {
        targets.send(target, request, [&](target_reply result) { reply = std::move(result); });
        run_until(test.loop, [&] { return reply.has_value(); });
    };

    SECTION("a response with the request's id is passed on") {
        test.response = {
            .status = 200, .headers = {{"X-Request-Id", "entry-1-5-12"}}, .body = "ok"};
        run();
        CHECK(reply->outcome == exchange_outcome::answered);
        CHECK(reply->body == "ok");
        CHECK(test.received.path == "/halls/sort");
        CHECK(test.received.body == "straw");
        CHECK(test.received.header("X-Request-Id") == "entry-1-5-12");
        CHECK(test.received.header("X-Workspace") == "halls");
        CHECK(test.received.header("Idempotency-Key") == "lot-1");
        CHECK(test.received.header("X-Claim-Token") == "99");
        CHECK(test.received.header("X-Deadline-Ms") == "2000");
        CHECK(test.received.header("Content-Type") == "text/plain");
    }
    SECTION("a response to another request is dropped and counted") {
        test.response = {
            .status = 200, .headers = {{"X-Request-Id", "entry-1-5-11"}}, .body = "ok"};
        run();
        CHECK(reply->outcome == exchange_outcome::broken);
        CHECK(reply->body.empty());
        CHECK(targets.totals().mismatched_responses == 1);
    }
    SECTION("a refusal that confirms that nothing ran is reported as such") {
        test.response = {.status = 503,
                         .headers = {{"X-Request-Id", "entry-1-5-12"}, {"X-Ran", "no"}},
                         .body = "busy"};
        run();
        CHECK(reply->outcome == exchange_outcome::refused_not_run);
    }
    SECTION("a refusal without confirmation is passed on as answered") {
        test.response = {.status = 503, .headers = {{"X-Request-Id", "entry-1-5-12"}}, .body = ""};
        run();
        CHECK(reply->outcome == exchange_outcome::answered);
        CHECK(reply->status == 503);
    }
}

}  // namespace
}  // namespace baobabrack
