#include <algorithm>
#include <catch2/catch.hpp>

#include "untrusted_clients/crowd.hpp"
#include "untrusted_clients/daemon_process.hpp"

namespace baobabrack {
namespace {

using testing::crowd;
using testing::scheduler_process;

// The target of docs/design/hard-load.md; an idle scheduler has about 11 MB.
constexpr std::size_t max_memory = 64UL << 20U;
// An idle scheduler has about 30 descriptors.
constexpr std::size_t idle_descriptors = 128;

const std::string status_request =
    "GET /fitting/job-1 HTTP/1.1\r\nHost: fitting.example\r\nApi-Key: hall-key\r\n\r\n";

// Sends a load that no client reads the responses of, and checks that the scheduler keeps within
// its bounds and then answers one ordinary request.
void check_load(scheduler_process& scheduler, const std::string& text,
                crowd::options options = {}) {
    std::size_t peak = 0;
    std::size_t peak_descriptors = 0;
    {
        crowd clients{scheduler.callers(), options};
        clients.send(text, [&] {
            peak = std::max(peak, scheduler.process().peak_memory() + scheduler.socket_bytes());
            peak_descriptors = std::max(peak_descriptors, scheduler.process().descriptors());
        });
    }
    CHECK(scheduler.process().is_running());
    CHECK(peak < max_memory);
    CHECK(peak_descriptors < idle_descriptors + options.connections);
    CHECK(scheduler.status_of("GET /fitting/ HTTP/1.1\r\nHost: fitting.example\r\n"
                              "Api-Key: hall-key\r\n\r\n") == 200);
}

// Guards against an input buffer that grows while a response is unsent.
TEST_CASE("pipelined requests without a route whose responses are not read are bounded",
          "[unread]") {
    scheduler_process scheduler;
    check_load(scheduler, "GET /nothing HTTP/1.1\r\nHost: nowhere.example\r\n\r\n");
}

TEST_CASE("pipelined status requests whose responses are not read are bounded", "[unread]") {
    scheduler_process scheduler;
    check_load(scheduler, status_request);
}

// Guards against an amount for each connection that is too large for many of them.
TEST_CASE("unread responses on 256 connections are bounded", "[unread]") {
    scheduler_process scheduler;
    check_load(scheduler,
               GENERATE(as<std::string>{}, "GET /nothing HTTP/1.1\r\nHost: nowhere.example\r\n\r\n",
                        status_request),
               {.connections = 256, .max_bytes = 1UL << 20U});
}

// Guards against a client that makes just enough progress not to be idle.
TEST_CASE("a client that reads one byte a second is bounded", "[unread]") {
    scheduler_process scheduler;
    check_load(scheduler, status_request, {.reads_slowly = true});
}

}  // namespace
}  // namespace baobabrack
