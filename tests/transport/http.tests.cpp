#include <catch2/catch.hpp>

#include "support/loopback.hpp"

namespace baobabrack {
namespace {

using testing::function_handler;
using testing::raw_client;
using testing::raw_server;
using testing::run_until;
using namespace std::chrono_literals;

constexpr std::uint64_t seed = 1;

struct fixture {
    event_runtime loop{seed};
    http_client client{loop, {}};
    std::optional<http_outcome> outcome;

    http_call_id send(http_call call) {
        return client.send(std::move(call),
                           [this](http_outcome result) { outcome = std::move(result); });
    }
    bool wait_for_outcome() {
        return run_until(loop, [this] { return outcome.has_value(); });
    }
};

http_call call_to(const http_endpoint& to, duration deadline = 10s) {
    http_call call;
    call.to = to;
    call.deadline = deadline;
    return call;
}

http_endpoint endpoint_of(const http_server& server) {
    return {.host = "127.0.0.1", .port = server.port()};
}

TEST_CASE("a request and its response are transferred completely", "[http]") {
    fixture test;
    http_request received;
    function_handler handler{[&](http_request request, const http_responder& responder) {
        received = std::move(request);
        responder.respond({.status = 201, .headers = {{"X-Answer", "yes"}}, .body = "pong"});
    }};
    http_server server{test.loop, {}, handler};

    auto call = call_to(endpoint_of(server));
    call.method = "PUT";
    call.path = "/v1/a%2Fb//c?x=1&y=two%20words";
    call.headers = {{"X-Question", "why"}};
    call.body = std::string("ping\0ping", 9);
    test.send(std::move(call));

    REQUIRE(test.wait_for_outcome());
    CHECK(test.outcome->completion == http_completion::answered);
    CHECK(test.outcome->response.status == 201);
    CHECK(test.outcome->response.header("x-answer") == "yes");
    CHECK(test.outcome->response.body == "pong");
    CHECK(received.method == "PUT");
    CHECK(received.segments == std::vector<std::string>{"v1", "a/b", "c"});
    CHECK(received.parameter("x") == "1");
    CHECK(received.parameter("y") == "two words");
    CHECK(received.header("x-question") == "why");
    CHECK(received.body.size() == 9);
    CHECK(received.remote_host == "127.0.0.1");
}

TEST_CASE("a response can be sent later, and only the first is sent", "[http]") {
    fixture test;
    std::optional<http_responder> later;
    function_handler handler{
        [&](const http_request&, const http_responder& responder) { later = responder; }};
    http_server server{test.loop, {}, handler};
    test.send(call_to(endpoint_of(server)));
    REQUIRE(run_until(test.loop, [&] { return later.has_value(); }));
    CHECK(server.open_requests() == 1);

    SECTION("the first response is sent") {
        later->respond({.status = 200, .headers = {}, .body = "first"});
        later->respond({.status = 200, .headers = {}, .body = "second"});
        REQUIRE(test.wait_for_outcome());
        CHECK(test.outcome->response.body == "first");
        CHECK_FALSE(later->is_open());
        CHECK(server.open_requests() == 0);
    }
    SECTION("a destroyed responder sends an error") {
        later.reset();
        REQUIRE(test.wait_for_outcome());
        CHECK(test.outcome->response.status == 500);
    }
    SECTION("responders outlive a destroyed server without effect") {
        {
            http_server other{test.loop, {}, handler};
            later.reset();
            test.send(call_to(endpoint_of(other)));
            REQUIRE(run_until(test.loop, [&] { return later.has_value(); }));
        }
        CHECK_FALSE(later->is_open());
        later->respond({});
    }
}

TEST_CASE("a draining server completes open requests and accepts no connections", "[http]") {
    fixture test;
    std::optional<http_responder> later;
    function_handler handler{
        [&](const http_request&, const http_responder& responder) { later = responder; }};
    http_server server{test.loop, {}, handler};
    const auto to = endpoint_of(server);
    test.send(call_to(to));
    REQUIRE(run_until(test.loop, [&] { return later.has_value(); }));

    server.stop_accepting();
    std::optional<http_outcome> second;
    http_client other{test.loop, {}};
    other.send(call_to(to), [&](http_outcome result) { second = std::move(result); });
    REQUIRE(run_until(test.loop, [&] { return second.has_value(); }));
    CHECK(second->completion == http_completion::not_sent);

    later->respond({.status = 200, .headers = {}, .body = "whole"});
    REQUIRE(test.wait_for_outcome());
    CHECK(test.outcome->response.body == "whole");
    CHECK(test.outcome->response.header("Connection") == "close");
}

TEST_CASE("the completion of a failed call reports whether bytes were sent", "[http]") {
    fixture test;
    SECTION("connection refused") {
        auto closed = std::make_unique<raw_server>(test.loop, raw_server::options{});
        const auto to = closed->endpoint();
        closed.reset();
        test.send(call_to(to));
        REQUIRE(test.wait_for_outcome());
        CHECK(test.outcome->completion == http_completion::not_sent);
    }
    SECTION("the host is not an IP address") {
        test.send(call_to({.host = "target.example", .port = 80}));
        REQUIRE(test.wait_for_outcome());
        CHECK(test.outcome->completion == http_completion::not_sent);
    }
    SECTION("the deadline has expired") {
        raw_server server{test.loop, {}};
        test.send(call_to(server.endpoint(), 0s));
        REQUIRE(test.wait_for_outcome());
        CHECK(test.outcome->completion == http_completion::not_sent);
        CHECK(server.accepted_connections() == 0);
    }
    SECTION("the server reads the request and does not respond") {
        raw_server server{test.loop, {.reply = "", .close_after_reply = false}};
        test.send(call_to(server.endpoint(), 50ms));
        REQUIRE(test.wait_for_outcome());
        CHECK(test.outcome->completion == http_completion::timed_out);
        CHECK(
            run_until(test.loop, [&] { return test.client.connections(server.endpoint()) == 0; }));
    }
    SECTION("the server closes the connection without a response") {
        raw_server server{test.loop, {}};
        test.send(call_to(server.endpoint()));
        REQUIRE(test.wait_for_outcome());
        CHECK(test.outcome->completion == http_completion::broken);
        CHECK(server.accepted_connections() == 1);
    }
}

TEST_CASE("an incomplete response is broken", "[http]") {
    const std::string reply =
        GENERATE(as<std::string>{}, "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nshort",
                 "HTTP/1.1 200 OK\r\nContent-Len", "HTTP/1.1 200 OK\r\n\r\nuntil the end",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort",
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nshort\r\n",
                 "nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: -5\r\n\r\nshort",
                 "HTTP/1.1 200 OK\r\nContent-Length: 99999999999999999999\r\n\r\nshort");
    CAPTURE(reply);
    fixture test;
    raw_server server{test.loop, {.reply = reply}};
    test.send(call_to(server.endpoint()));
    REQUIRE(test.wait_for_outcome());
    CHECK(test.outcome->completion == http_completion::broken);
    CHECK(server.accepted_connections() == 1);
}

TEST_CASE("a response above the size limits is broken", "[http]") {
    event_runtime loop{seed};
    http_client client{loop, {.max_body_bytes = 16, .max_header_bytes = 256}};
    const std::string reply =
        GENERATE("HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n" + std::string(17, 'x'),
                 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n20\r\n" +
                     std::string(32, 'x') + "\r\n0\r\n\r\n",
                 "HTTP/1.1 200 OK\r\nX-Long: " + std::string(300, 'x') + "\r\n\r\n");
    raw_server server{loop, {.reply = reply}};
    std::optional<http_outcome> outcome;
    client.send(call_to(server.endpoint()),
                [&](http_outcome result) { outcome = std::move(result); });
    REQUIRE(run_until(loop, [&] { return outcome.has_value(); }));
    CHECK(outcome->completion == http_completion::broken);
}

TEST_CASE("connections are limited, reused and replaced", "[http]") {
    event_runtime loop{seed};
    std::vector<http_responder> open;
    function_handler handler{
        [&](const http_request&, const http_responder& responder) { open.push_back(responder); }};
    http_server server{loop, {}, handler};
    const auto to = endpoint_of(server);
    int answered = 0;
    int unsent = 0;
    const auto count = [&](const http_outcome& outcome) {
        ++(outcome.completion == http_completion::answered ? answered : unsent);
    };

    SECTION("calls above the connection limit wait, and those above the queue limit are not sent") {
        http_client client{loop, {.max_connections_per_host = 2, .max_waiting_per_host = 3}};
        for (int call = 0; call < 6; ++call) {
            client.send(call_to(to), count);
        }
        REQUIRE(run_until(loop, [&] { return open.size() == 2 && unsent == 1; }));
        CHECK(client.connections(to) == 2);
        for (std::size_t next = 0; next < 5; ++next) {
            REQUIRE(run_until(loop, [&] { return open.size() > next; }));
            CHECK(server.open_requests() <= 2);
            open[next].respond({});
        }
        REQUIRE(run_until(loop, [&] { return answered == 5; }));
        CHECK(client.connections(to) == 2);
    }
    SECTION("a waiting call whose deadline expires is not sent") {
        http_client client{loop, {.max_connections_per_host = 1}};
        client.send(call_to(to), count);
        client.send(call_to(to, 30ms), count);
        REQUIRE(run_until(loop, [&] { return unsent == 1; }));
        CHECK(open.size() == 1);
    }
    SECTION("an abandoned call frees its connection") {
        http_client client{loop, {.max_connections_per_host = 1}};
        const auto first = client.send(call_to(to), count);
        client.send(call_to(to), count);
        REQUIRE(run_until(loop, [&] { return open.size() == 1; }));
        client.abandon(first);
        REQUIRE(run_until(loop, [&] { return open.size() == 2; }));
        open[0].respond({});
        open[1].respond({});
        REQUIRE(run_until(loop, [&] { return answered == 1; }));
        CHECK(unsent == 0);
    }
    SECTION("a request that is not idempotent does not use an idle connection") {
        http_client client{loop, {.non_idempotent_idle_limit = 0us}};
        std::vector<std::uint16_t> ports;
        function_handler responding_handler{
            [&](const http_request& request, const http_responder& responder) {
                ports.push_back(request.remote_port);
                responder.respond({});
            }};
        http_server other{loop, {}, responding_handler};
        for (const bool idempotent : {true, true, false}) {
            auto call = call_to(endpoint_of(other));
            call.idempotent = idempotent;
            client.send(std::move(call), count);
            const auto before = ports.size();
            REQUIRE(run_until(loop, [&] { return ports.size() > before; }));
            REQUIRE(run_until(loop, [&] { return answered == static_cast<int>(ports.size()); }));
        }
        CHECK(ports[0] == ports[1]);
        CHECK(ports[2] != ports[1]);
    }
}

TEST_CASE("an invalid request affects only its own connection", "[http]") {
    fixture test;
    int handled = 0;
    function_handler handler{[&](const http_request&, const http_responder& responder) {
        ++handled;
        responder.respond({.status = 200, .headers = {}, .body = "fine"});
    }};
    http_server server{test.loop,
                       {.max_body_bytes = 64, .max_header_bytes = 512, .receive_timeout = 200ms},
                       handler};
    raw_client bad{test.loop, server.port()};
    SECTION("malformed request line") {
        bad.send("\x01\x02 not http\r\n\r\n");
    }
    SECTION("an unsupported method") {
        bad.send("TRACE / HTTP/1.1\r\nHost: x\r\n\r\n");
    }
    SECTION("headers above the size limit") {
        bad.send("GET / HTTP/1.1\r\nX-Long: " + std::string(1000, 'x') + "\r\n\r\n");
    }
    SECTION("a body above the size limit") {
        bad.send("POST / HTTP/1.1\r\nContent-Length: 65\r\n\r\n" + std::string(65, 'x'));
    }
    SECTION("a Content-Length that is not a number") {
        bad.send("POST / HTTP/1.1\r\nContent-Length: many\r\n\r\nxxxx");
    }
    SECTION("an incomplete body, then silence") {
        bad.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
    }
    SECTION("an incomplete request line, then silence") {
        bad.send("POST / HT");
    }
    CHECK(run_until(test.loop, [&] { return bad.closed_by_peer(); }));
    CHECK(handled == 0);
    CHECK(bad.received().find(" 200 ") == std::string::npos);

    test.send(call_to(endpoint_of(server)));
    REQUIRE(test.wait_for_outcome());
    CHECK(test.outcome->response.body == "fine");
}

TEST_CASE("a client that disconnects within a request leaves no open connection", "[http]") {
    fixture test;
    function_handler handler{[&](const http_request&, const http_responder&) {}};
    http_server server{test.loop, {}, handler};
    {
        raw_client client{test.loop, server.port()};
        client.send("POST / HTTP/1.1\r\nContent-Length: 10\r\n\r\nhalf");
        REQUIRE(run_until(test.loop, [&] { return server.open_connections() == 1; }));
        client.close();
    }
    CHECK(run_until(test.loop, [&] { return server.open_connections() == 0; }));
    CHECK(server.totals().requests == 0);
}

TEST_CASE("connections above the limit are accepted after another closes", "[http]") {
    fixture test;
    function_handler handler{
        [&](const http_request&, const http_responder& responder) { responder.respond({}); }};
    http_server server{test.loop, {.max_connections = 1}, handler};
    raw_client first{test.loop, server.port()};
    first.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    REQUIRE(run_until(test.loop, [&] { return !first.received().empty(); }));
    raw_client second{test.loop, server.port()};
    second.send("GET / HTTP/1.1\r\nHost: x\r\n\r\n");
    CHECK(server.totals().accept_pauses == 1);
    CHECK(second.received().empty());
    first.close();
    CHECK(run_until(test.loop, [&] { return !second.received().empty(); }));
}

}  // namespace
}  // namespace baobabrack
