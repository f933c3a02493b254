// Accepted work of clients outside the limits.
#include <array>
#include <catch2/catch.hpp>
#include <cstdio>

#include "untrusted_clients/daemon_process.hpp"

namespace baobabrack {
namespace {

using testing::scheduler_process;

// The smallest machine of a scheduler has 160 MB.
constexpr std::size_t max_memory = 128UL << 20U;

const std::string headers = "Host: fitting.example\r\nApi-Key: hall-key\r\n";

std::string submission(int number) {
    const std::string body = R"({"Spec": "x", "Steps": [{"Count": 5000, "Cpu": 100}]})";
    std::array<char, 17> id{};
    std::snprintf(id.data(), id.size(), "%016x", static_cast<unsigned>(number));
    return "POST /fitting/" + std::string{id.data()} + " HTTP/1.1\r\n" + headers +
           "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Guards against small requests that each add megabytes of state.
TEST_CASE("memory for accepted jobs is bounded", "[submissions]") {
    scheduler_process scheduler;
    CHECK(scheduler.status_of(submission(0)) == 200);
    for (int i = 1; i < 150; ++i) {
        scheduler.status_of(submission(i));
    }
    CHECK(scheduler.process().is_running());
    CHECK(scheduler.process().peak_memory() < max_memory);
    CHECK(scheduler.status_of("GET /fitting/ HTTP/1.1\r\n" + headers + "\r\n") == 200);
}

}  // namespace
}  // namespace baobabrack
