// Limits of one process over all connections of its HTTP servers.
#include <catch2/catch.hpp>

#include "untrusted_clients/crowd.hpp"
#include "untrusted_clients/daemon_process.hpp"

namespace baobabrack {
namespace {

using testing::crowd;
using testing::process_peak;
using testing::scheduler_process;

// The target of docs/design/hard-load.md.
constexpr std::size_t max_memory = 64UL << 20U;
constexpr std::size_t max_descriptors = 256;

const std::string headers = "Host: fitting.example\r\nApi-Key: hall-key\r\n";
const std::string status_request = "GET /fitting/job-1 HTTP/1.1\r\n" + headers + "\r\n";
const std::string no_route = "GET /nothing HTTP/1.1\r\nHost: nowhere.example\r\n\r\n";
const std::string ordinary_request = "GET /fitting/ HTTP/1.1\r\n" + headers + "\r\n";
const std::string incomplete_body = "POST /fitting/job-1 HTTP/1.1\r\n" + headers +
                                    "Content-Length: 60000\r\n\r\n" + std::string(15'000, 'x');

// Guards against a limit for each connection whose sum over all connections has no limit.
TEST_CASE("unread responses are bounded over all connections", "[process]") {
    scheduler_process scheduler{"", R"("read_ahead_bytes": 262144, "socket_buffer_bytes": 262144)"};
    process_peak peak;
    {
        crowd clients{scheduler.callers(), {.connections = 128, .max_bytes = 1UL << 20U}};
        clients.send(GENERATE_REF(as<std::string>{}, no_route, status_request),
                     [&] { peak.sample(scheduler.process(), scheduler.socket_bytes()); });
    }
    CHECK(scheduler.process().is_running());
    CHECK(peak.memory < max_memory);
    CHECK(peak.descriptors < max_descriptors);
    CHECK(scheduler.status_of(ordinary_request) == 200);
}

void check_full_server(const std::string& text, bool sends_once) {
    scheduler_process scheduler{R"("most_connections": 16, )"};
    process_peak peak;
    crowd clients{scheduler.callers(), {.connections = 32, .sends_once = sends_once}};
    clients.send(text, [&] { peak.sample(scheduler.process(), scheduler.socket_bytes()); });
    CHECK(scheduler.process().is_running());
    CHECK(peak.memory < max_memory);
    CHECK(peak.descriptors < max_descriptors);
    CHECK(scheduler.status_of(ordinary_request) == 200);
    CHECK(scheduler.status_of("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n", 7312) == 200);
}

// Guards against connections that keep their place while they make no progress.
TEST_CASE("unread responses leave room for an ordinary request", "[process]") {
    check_full_server(status_request, false);
}

TEST_CASE("unread responses without a route leave room for an ordinary request", "[process]") {
    check_full_server(no_route, false);
}

TEST_CASE("incomplete bodies leave room for an ordinary request", "[process]") {
    check_full_server(incomplete_body, true);
}

TEST_CASE("incomplete heads leave room for an ordinary request", "[process]") {
    check_full_server("GET /fitting/ HTTP/1.1\r\nX-Filler: x", true);
}

}  // namespace
}  // namespace baobabrack
