#include "standin/stand_in.hpp"

#include <google/protobuf/util/json_util.h>

#include <catch2/catch.hpp>

#include "baobabrack/transport/http_log_service.hpp"
#include "baobabrack/transport/http_target_service.hpp"
#include "baobabrack/transport/http_worker_service.hpp"
#include "support/loopback.hpp"

namespace baobabrack {
namespace {

using testing::function_handler;
using testing::run_until;
using namespace std::chrono_literals;

constexpr std::uint64_t seed = 1;
const http_endpoint any_port{.host = "127.0.0.1", .port = 0};

std::string services_text(std::uint16_t entry_port) {
    return R"({
      "log": {"append_limit": 0, "retention_records": 100},
      "workers": [{"prefix": "kingston-w", "count": 4, "per_rack": 3,
        "location": {"region": "kingston", "data_centre": "k1"},
        "capacity": {"cpu_millicores": 32000, "memory_mib": 65536, "accelerators": 8}}],
      "targets": [{"prefix": "bench-", "count": 1, "service": "nibcast", "slots": 2,
        "connections": 8, "work_ms": 1,
        "location": {"region": "kingston", "data_centre": "k1"}}],
      "announce_to": [{"host": "127.0.0.1", "port": )" +
           std::to_string(entry_port) + R"(}], "announce_interval_ms": 50})";
}

// A stand-in and a server that receives its announcements in place of an entry.
struct fixture {
    event_runtime loop{seed};
    wire::TargetAnnouncement last_announcement;
    function_handler entry_handler{
        [this](const http_request& request, const http_responder& responder) {
            last_announcement.ParseFromString(request.body);
            responder.respond({.status = 204, .headers = {}, .body = ""});
        }};
    http_server entry{loop, {}, entry_handler};
    standin::stand_in platform{
        loop, {.listen = any_port, .services = services_text(entry.port()), .only = {}}};
    http_client client{loop, {}};

    http_endpoint endpoint() const { return {.host = "127.0.0.1", .port = platform.port()}; }

    http_response fetch(const std::string& method, const std::string& path) {
        http_call call;
        call.to = endpoint();
        call.method = method;
        call.path = path;
        std::optional<http_outcome> outcome;
        client.send(std::move(call), [&](http_outcome got) { outcome = std::move(got); });
        REQUIRE(run_until(loop, [&] { return outcome.has_value(); }));
        REQUIRE(outcome->completion == http_completion::answered);
        return outcome->response;
    }

    template <typename Message>
    Message fetch_json(const std::string& path) {
        Message message;
        const auto body = fetch("GET", path).body;
        REQUIRE(google::protobuf::util::JsonStringToMessage(body, &message).ok());
        return message;
    }
};

TEST_CASE("the stand-in's log keeps what is appended", "[standin]") {
    fixture test;
    http_log_service log{test.client, {.endpoint = test.endpoint(), .append_timeout = 3s}};
    std::optional<result<log_offset>> offset;
    const auto append = [&] {
        offset.reset();
        log.append("records", [&](result<log_offset> got) { offset.emplace(std::move(got)); });
        REQUIRE(run_until(test.loop, [&] { return offset.has_value(); }));
    };
    append();
    REQUIRE(offset->has_value());
    const auto first = offset->value();

    SECTION("and gives it back") {
        std::optional<result<log_page>> page;
        log.read(first, 10, [&](result<log_page> got) { page.emplace(std::move(got)); });
        REQUIRE(run_until(test.loop, [&] { return page.has_value(); }));
        REQUIRE(page->has_value());
        REQUIRE(page->value().entries.size() == 1);
        CHECK(page->value().entries[0].payload == "records");
    }
    SECTION("is unavailable during an outage") {
        test.fetch("POST", "/control/log?down=true");
        append();
        CHECK(offset->error().kind == failure_kind::unavailable);
        test.fetch("POST", "/control/log?down=false");
        append();
        CHECK(offset->has_value());
    }
    SECTION("may lose an answer after its effect") {
        test.fetch("POST", "/control/log?lose_answers=1");
        append();
        CHECK(offset->error().kind == failure_kind::timed_out);
        const auto state = test.fetch_json<wire::StandinLogState>("/control/log");
        CHECK(state.end() == first.get() + 2);
    }
    SECTION("forgets what is beyond its retention") {
        append();
        test.fetch("POST", "/control/log?keep_last=1");
        std::optional<result<log_page>> page;
        log.read(first, 10, [&](result<log_page> got) { page.emplace(std::move(got)); });
        REQUIRE(run_until(test.loop, [&] { return page.has_value(); }));
        CHECK(page->error().kind == failure_kind::expired);
    }
}

TEST_CASE("the stand-in's workers run tasks under leases", "[standin]") {
    fixture test;
    http_worker_inventory inventory{test.client, test.endpoint()};
    std::optional<result<wire::WorkerList>> list;
    inventory.list([&](result<wire::WorkerList> got) { list.emplace(std::move(got)); });
    REQUIRE(run_until(test.loop, [&] { return list.has_value(); }));
    REQUIRE(list->value().workers_size() == 4);
    const auto facts = list->value().workers(0);
    CHECK(facts.port() == test.platform.port());
    CHECK(facts.location().rack() == "kingston-wrack-1");
    CHECK(list->value().workers(3).location().rack() == "kingston-wrack-2");

    http_worker_service workers{
        test.client, {}, [&](const worker_id&) { return std::optional{test.endpoint()}; }};
    std::optional<result<wire::WorkerReply>> reply;
    const auto call = [&](const wire::WorkerCall& worker_call) {
        reply.reset();
        workers.call(worker_id{facts.worker()}, worker_call,
                     [&](result<wire::WorkerReply> got) { reply.emplace(std::move(got)); });
        REQUIRE(run_until(test.loop, [&] { return reply.has_value(); }));
    };
    wire::WorkerCall prepare;
    prepare.mutable_prepare()->mutable_task()->set_job("polish");
    prepare.mutable_prepare()->mutable_task()->set_attempt(1);
    prepare.mutable_prepare()->mutable_resources()->set_accelerators(8);
    prepare.mutable_prepare()->set_lease_ms(60'000);

    SECTION("a task is held") {
        call(prepare);
        CHECK(reply->value().status() == wire::WORKER_OK);
        const auto states = test.fetch_json<wire::StandinWorkerStates>("/control/workers");
        CHECK(states.items(0).held(0).job() == "polish");
    }
    SECTION("a dead worker cannot be reached until it is replaced") {
        const auto path = "/control/workers/" + facts.worker();
        test.fetch("POST", path + "/kill");
        call(prepare);
        CHECK(reply->error().kind == failure_kind::unavailable);
        test.fetch("POST", path + "/replace");
        call(prepare);
        CHECK(reply->value().worker_incarnation() == facts.incarnation() + 1);
    }
    SECTION("what is no call is refused") {
        CHECK(test.fetch("POST", "/control/workers/nobody/kill").status == 404);
        CHECK(test.fetch("POST", "/control/workers/" + facts.worker() + "/fly").status == 404);
    }
}

TEST_CASE("the stand-in's targets announce themselves and note what they run", "[standin]") {
    fixture test;
    REQUIRE(run_until(test.loop, [&] { return test.last_announcement.sequence() > 0; }));
    CHECK(test.last_announcement.target() == "bench-1");
    CHECK(test.last_announcement.service() == "nibcast");

    http_target_service targets{
        test.client, {.request_id_prefix = "entry-1"}, [&](const target_id&) {
            return std::optional{
                http_endpoint{.host = test.last_announcement.host(),
                              .port = static_cast<std::uint16_t>(test.last_announcement.port())}};
        }};
    std::optional<target_reply> reply;
    std::uint64_t next_id = 1;
    const auto run = [&](duration deadline) {
        target_request request;
        request.id = next_id++;
        request.workspace = workspace_id{"counter"};
        request.request_class = "tine";
        request.body = "italic";
        request.deadline = deadline;
        request.claim = claim_token{.key = idempotency_key{"grind-1"}, .offset = log_offset{4}};
        reply.reset();
        targets.send(target_id{"bench-1"}, request,
                     [&](target_reply got) { reply = std::move(got); });
        REQUIRE(run_until(test.loop, [&] { return reply.has_value(); }));
    };
    const auto ran = [&] { return test.fetch_json<wire::RanList>("/control/targets/bench-1/ran"); };
    const auto control = [&](const std::string& action) {
        CHECK(test.fetch("POST", "/control/targets/bench-1/" + action).status == 200);
    };

    SECTION("an ordinary answer") {
        run(2s);
        CHECK(reply->outcome == exchange_outcome::answered);
        CHECK(reply->body.find("italic") != std::string::npos);
        REQUIRE(ran().items_size() == 1);
        CHECK(ran().items(0).key() == "grind-1");
        CHECK(ran().items(0).claim_token() == 4);
        CHECK(ran().items(0).request_class() == "tine");
        CHECK(ran().items(0).completed());
    }
    SECTION("a refusal ran nothing") {
        control("refuse");
        run(2s);
        CHECK(reply->outcome == exchange_outcome::refused_not_run);
        CHECK(ran().items_size() == 0);
    }
    SECTION("a black hole answers errors at once") {
        control("black-hole");
        run(2s);
        CHECK(reply->status == 500);
        CHECK(ran().items_size() == 0);
    }
    SECTION("truncated and crossed answers are broken") {
        control("truncate");
        run(2s);
        CHECK(reply->outcome == exchange_outcome::broken);
        control("cross");
        run(2s);
        CHECK(reply->outcome == exchange_outcome::broken);
        CHECK(targets.totals().mismatched_responses == 1);
        CHECK(ran().items_size() == 2);
    }
    SECTION("a stalled request has run and is never answered") {
        control("stall");
        run(100ms);
        CHECK(reply->outcome == exchange_outcome::timed_out);
        CHECK(ran().items_size() == 1);
    }
    SECTION("leaving is announced, and a return is a new incarnation") {
        const auto before = test.last_announcement.incarnation();
        control("leave");
        CHECK(run_until(test.loop, [&] { return test.last_announcement.leaving(); }));
        control("return");
        CHECK(run_until(test.loop, [&] { return test.last_announcement.incarnation() > before; }));
        CHECK_FALSE(test.last_announcement.leaving());
    }
}

TEST_CASE("a services file that cannot be understood is refused", "[standin]") {
    event_runtime loop{seed};
    const standin::stand_in::options options{
        .listen = any_port, .services = R"({"wrokers": []})", .only = {}};
    CHECK_THROWS_WITH((standin::stand_in{loop, options}), Catch::Contains("wrokers"));
}

TEST_CASE("a part of the stand-in serves only what it is asked for", "[standin]") {
    event_runtime loop{seed};
    standin::stand_in part{
        loop, {.listen = any_port, .services = services_text(1), .only = {"worker:kingston-w2"}}};
    http_client client{loop, {}};
    const auto status_of = [&](const std::string& method, const std::string& path) {
        http_call call;
        call.to = {.host = "127.0.0.1", .port = part.port()};
        call.method = method;
        call.path = path;
        std::optional<http_outcome> outcome;
        client.send(std::move(call), [&](http_outcome got) { outcome = std::move(got); });
        REQUIRE(run_until(loop, [&] { return outcome.has_value(); }));
        return outcome->response.status;
    };
    CHECK(status_of("POST", "/log/append") == 404);
    CHECK(status_of("POST", "/control/workers/kingston-w2/pause?ms=1") == 200);
    CHECK(status_of("POST", "/control/workers/kingston-w1/pause?ms=1") == 404);
    CHECK(status_of("GET", "/control/targets/bench-1/ran") == 404);
}

}  // namespace
}  // namespace baobabrack
