#include <sys/resource.h>

#include <algorithm>
#include <catch2/catch.hpp>

#include "untrusted_clients/crowd.hpp"
#include "untrusted_clients/daemon_process.hpp"

namespace baobabrack {
namespace {

using testing::crowd;
using testing::scheduler_process;

// The same bounds as for unread responses.
constexpr std::size_t max_memory = 64UL << 20U;
constexpr std::size_t max_descriptors = 128;

const std::string headers = "Host: fitting.example\r\nApi-Key: hall-key\r\n";

void check_load(scheduler_process& scheduler, const std::string& text, crowd::options options) {
    std::size_t peak = 0;
    std::size_t peak_descriptors = 0;
    const auto sample = [&] {
        peak = std::max(peak, scheduler.process().peak_memory() + scheduler.socket_bytes());
        peak_descriptors = std::max(peak_descriptors, scheduler.process().descriptors());
    };
    {
        crowd clients{scheduler.callers(), options};
        clients.send(text, sample);
        sample();
    }
    CHECK(scheduler.process().is_running());
    CHECK(peak < max_memory);
    CHECK(peak_descriptors < max_descriptors);
    CHECK(scheduler.status_of("GET /fitting/ HTTP/1.1\r\n" + headers + "\r\n") == 200);
}

// Guards against memory for submissions that wait for the store.
TEST_CASE("pipelined submissions with the largest body are bounded", "[kinds]") {
    constexpr std::size_t body_bytes = 1UL << 20U;
    scheduler_process scheduler;
    check_load(scheduler,
               "POST /fitting/job-1 HTTP/1.1\r\n" + headers + "Content-Length: " +
                   std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes, 'x'),
               {});
}

// Guards against memory for request heads that never end.
TEST_CASE("endless request headers are bounded", "[kinds]") {
    scheduler_process scheduler;
    check_load(scheduler, "X-Filler: " + std::string(100, 'x') + "\r\n", {.max_bytes = 1UL << 20U});
}

// Guards against bodies that are announced and never completed: 32 connections that each send
// almost the largest body hold more than the budget.
TEST_CASE("incomplete bodies are bounded", "[kinds]") {
    constexpr std::size_t body_bytes = 1UL << 20U;
    scheduler_process scheduler;
    check_load(scheduler,
               "POST /fitting/job-1 HTTP/1.1\r\n" + headers + "Content-Length: " +
                   std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes - 1, 'x'),
               {.connections = 32, .max_bytes = body_bytes});
}

// Guards against descriptors that remain open after their connections were closed.
TEST_CASE("connections opened and reset in a loop are bounded", "[kinds]") {
    scheduler_process scheduler;
    for (int round = 0; round < 50; ++round) {
        crowd clients{scheduler.callers(), {.max_bytes = 100, .max_ms = 20}};
        clients.send("GET / HTTP/1.1\r\n", [] {});
    }
    check_load(scheduler, "GET / HTTP/1.1\r\n", {.max_bytes = 100, .max_ms = 100});
}

// Guards against an accept that fails for want of descriptors, which stops the server or keeps the
// loop busy.
TEST_CASE("a low limit of descriptors is kept", "[kinds]") {
    constexpr rlim_t low_limit = 520;
    rlimit usual{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &usual) == 0);
    const rlimit low{.rlim_cur = low_limit, .rlim_max = usual.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &low) == 0);
    scheduler_process scheduler;
    REQUIRE(setrlimit(RLIMIT_NOFILE, &usual) == 0);
    const crowd clients{scheduler.callers(), {.connections = 120}};
    CHECK(scheduler.process().is_running());
    CHECK(scheduler.process().descriptors() < max_descriptors);
    CHECK(scheduler.status_of("GET /fitting/ HTTP/1.1\r\n" + headers + "\r\n") == 200);
}

// Guards against idle connections that keep ordinary callers out.
TEST_CASE("connections that send nothing leave room for an ordinary request", "[kinds]") {
    scheduler_process scheduler{R"("most_connections": 16, )"};
    const crowd clients{scheduler.callers(), {.connections = 32}};
    CHECK(scheduler.process().is_running());
    CHECK(scheduler.process().descriptors() < max_descriptors);
    CHECK(scheduler.status_of("GET /fitting/ HTTP/1.1\r\n" + headers + "\r\n") == 200);
}

}  // namespace
}  // namespace baobabrack
