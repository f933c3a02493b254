#include <google/protobuf/stubs/logging.h>

#include <catch2/catch.hpp>
#include <random>

#include "baobabrack/api.pb.h"
#include "baobabrack/codec/strict_json.hpp"
#include "baobabrack/config.pb.h"
#include "baobabrack/settings/settings.hpp"
#include "support/loopback.hpp"

namespace baobabrack {
namespace {

using testing::function_handler;
using testing::raw_client;
using testing::raw_server;
using testing::run_until;
using namespace std::chrono_literals;

constexpr std::uint64_t seed = 20260101;
constexpr int socket_rounds = 150;
constexpr int decoder_rounds = 3000;

// Overwrites, erases, duplicates or inserts a few bytes at random positions.
std::string mutate(std::string text, std::mt19937_64& random) {
    const auto changes = 1 + random() % 6;
    for (std::uint64_t change = 0; change < changes && !text.empty(); ++change) {
        const auto position = random() % text.size();
        switch (random() % 4) {
            case 0:
                text[position] = static_cast<char>(random() % 256);
                break;
            case 1:
                text.erase(position, 1 + random() % 8);
                break;
            case 2:
                text.insert(position, text.substr(position, 1 + random() % 16));
                break;
            default:
                text.insert(position, 1, static_cast<char>(random() % 256));
                break;
        }
    }
    return text;
}

TEST_CASE("the server still serves valid requests after mutated ones", "[fuzz]") {
    event_runtime loop{seed};
    function_handler handler{[](const http_request& request, const http_responder& responder) {
        responder.respond({.status = 200, .headers = {}, .body = request.body});
    }};
    http_server server{loop, {.max_body_bytes = 4096, .max_header_bytes = 1024}, handler};
    const std::string valid =
        "POST /v1/workspaces/hall/requests/sort?x=%20y HTTP/1.1\r\nHost: entry\r\n"
        "Idempotency-Key: 17-a\r\nContent-Length: 5\r\nTransfer-Encoding: identity\r\n\r\nstraw";
    std::mt19937_64 random{seed};
    for (int round = 0; round < socket_rounds; ++round) {
        raw_client client{loop, server.port()};
        client.send(mutate(valid, random));
        run_until(loop, [&, turns = 0]() mutable { return ++turns > 2; });
        client.close();
    }
    http_client client{loop, {}};
    http_call call;
    call.to = {.host = "127.0.0.1", .port = server.port()};
    call.body = "whole";
    std::optional<http_outcome> outcome;
    client.send(std::move(call), [&](http_outcome result) { outcome = std::move(result); });
    REQUIRE(run_until(loop, [&] { return outcome.has_value(); }));
    CHECK(outcome->response.body == "whole");
    CHECK(run_until(loop, [&] { return server.open_connections() <= 1; }));
}

TEST_CASE("a mutated response is either complete or reported as broken", "[fuzz]") {
    event_runtime loop{seed};
    http_client client{loop, {.max_body_bytes = 4096, .max_header_bytes = 1024}};
    const std::string valid =
        "HTTP/1.1 200 OK\r\nContent-Length: 5\r\nX-Request-Id: e-1\r\n\r\nstraw";
    std::mt19937_64 random{seed};
    int ended = 0;
    for (int round = 0; round < socket_rounds; ++round) {
        raw_server server{loop, {.reply = mutate(valid, random)}};
        http_call call;
        call.to = server.endpoint();
        std::optional<http_outcome> outcome;
        client.send(std::move(call), [&](http_outcome result) { outcome = std::move(result); });
        REQUIRE(run_until(loop, [&] { return outcome.has_value(); }));
        CHECK(outcome->completion != http_completion::not_sent);
        if (outcome->completion == http_completion::answered) {
            const auto length = outcome->response.header("Content-Length");
            const bool chunked = !outcome->response.header("Transfer-Encoding").empty();
            const bool bodiless =
                outcome->response.status == 204 || outcome->response.status == 304;
            CHECK(
                (chunked || bodiless || parse_number(length, 0) == outcome->response.body.size()));
        }
        ++ended;
    }
    CHECK(ended == socket_rounds);
}

TEST_CASE("mutated documents are parsed or rejected with problems", "[fuzz]") {
    const auto settings = print_json(default_settings("entry"));
    wire::JobSpec spec;
    spec.set_id("fit-1");
    spec.mutable_shape()->set_members(4);
    spec.mutable_shape()->set_adjacency(wire::ADJACENCY_RACK);
    const auto job = print_json(spec);
    std::mt19937_64 random{seed};
    std::size_t rejected = 0;
    for (int round = 0; round < decoder_rounds; ++round) {
        rejected += parse_settings(mutate(settings, random)).problems.empty() ? 0 : 1;
        wire::JobSpec parsed;
        rejected += parse_strict_json(mutate(job, random), parsed).empty() ? 0 : 1;
    }
    CHECK(rejected > decoder_rounds / 2);
}

TEST_CASE("mutated wire messages are decoded or rejected", "[fuzz]") {
    // protobuf logs each string that is not valid UTF-8.
    const google::protobuf::LogSilencer silence;
    wire::WorkerCall call;
    call.mutable_prepare()->mutable_task()->set_job("fit-1");
    call.mutable_prepare()->mutable_resources()->set_accelerators(8);
    const auto valid = call.SerializeAsString();
    std::mt19937_64 random{seed};
    int decoded = 0;
    for (int round = 0; round < decoder_rounds; ++round) {
        wire::WorkerCall parsed;
        decoded += parsed.ParseFromString(mutate(valid, random)) ? 1 : 0;
    }
    CHECK(decoded < decoder_rounds);
}

}  // namespace
}  // namespace baobabrack
