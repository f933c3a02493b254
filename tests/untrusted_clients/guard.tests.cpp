// Clients outside the limits at the servers of a worker guard.
#include <catch2/catch.hpp>

#include "untrusted_clients/crowd.hpp"
#include "untrusted_clients/daemon_process.hpp"

namespace baobabrack {
namespace {

using testing::crowd;
using testing::guard_process;
using testing::process_peak;

// A guard's machine has 128 MB.
constexpr std::size_t max_memory = 96UL << 20U;
constexpr std::size_t max_descriptors = 256;

void check_load(const http_endpoint& to, guard_process& guard, const std::string& text,
                crowd::options options) {
    process_peak peak;
    crowd clients{to, options};
    clients.send(text, [&] { peak.sample(guard.process(), guard.socket_bytes(to.port)); });
    CHECK(guard.process().is_running());
    CHECK(peak.memory < max_memory);
    CHECK(peak.descriptors < max_descriptors);
    CHECK(guard.announcement_status() == 200);
}

const std::string unknown_path = "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n";
const std::string incomplete_body =
    "PUT /-/instances/i-1 HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n" +
    std::string(15'000, 'x');

// Guards against connections that keep the worker's announcements out.
TEST_CASE("unread responses leave room for a worker's announcement", "[guard]") {
    guard_process guard;
    check_load(guard.announcements(), guard, unknown_path,
               {.connections = 96, .max_bytes = 4UL << 20U});
}

TEST_CASE("incomplete bodies leave room for a worker's announcement", "[guard]") {
    guard_process guard;
    check_load(guard.announcements(), guard, incomplete_body,
               {.connections = 96, .sends_once = true});
}

TEST_CASE("unread metrics of a guard are bounded", "[guard]") {
    guard_process guard;
    check_load(guard.metrics(), guard, unknown_path, {.connections = 96, .max_bytes = 1UL << 20U});
}

TEST_CASE("large bodies at a guard are bounded", "[guard]") {
    constexpr std::size_t body_bytes = 4UL << 20U;
    guard_process guard;
    check_load(guard.announcements(), guard,
               "PUT /-/instances/i-1 HTTP/1.1\r\nHost: x\r\nContent-Length: " +
                   std::to_string(body_bytes) + "\r\n\r\n" + std::string(body_bytes - 1, 'x'),
               {.connections = 32, .sends_once = true});
}

}  // namespace
}  // namespace baobabrack
