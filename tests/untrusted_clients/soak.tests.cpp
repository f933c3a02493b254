// Random crowds at a scheduler that is paused and killed meanwhile. BAOBABRACK_TEST_SEEDS plays
// more seeds by hand.
#include <array>
#include <catch2/catch.hpp>
#include <csignal>
#include <cstdlib>
#include <memory>
#include <random>

#include "untrusted_clients/crowd.hpp"
#include "untrusted_clients/daemon_process.hpp"

namespace baobabrack {
namespace {

using testing::crowd;
using testing::process_peak;
using testing::scheduler_process;

constexpr unsigned seeds_in_ci = 3;
constexpr int crowds_of_a_seed = 4;
// The target for any number of connections.
constexpr std::size_t max_memory = 128UL << 20U;

const std::string headers = "Host: fitting.example\r\nApi-Key: hall-key\r\n";
const std::string ordinary_request = "GET /fitting/ HTTP/1.1\r\n" + headers + "\r\n";

unsigned seed_count() {
    const char* count = std::getenv("BAOBABRACK_TEST_SEEDS");
    return count == nullptr ? seeds_in_ci : static_cast<unsigned>(std::atoi(count));
}

std::string random_text(std::mt19937& random) {
    const std::string body(std::uniform_int_distribution<std::size_t>{1, 40'000}(random), 'x');
    const std::string job = R"({"Spec": "x", "Steps": [{"Count": 500, "Cpu": 100}]})";
    const std::array<std::string, 8> texts{
        "GET /nothing HTTP/1.1\r\nHost: nowhere.example\r\n\r\n",
        "GET /fitting/job-1 HTTP/1.1\r\n" + headers + "\r\n",
        "DELETE /fitting/0123456789abcdef HTTP/1.1\r\n" + headers + "\r\n",
        "X-Filler: " + body,
        "POST /fitting/job-1 HTTP/1.1\r\n" + headers + "Content-Length: 60000\r\n\r\n" + body,
        "POST /fitting/0123456789abcdef HTTP/1.1\r\n" + headers +
            "Content-Length: " + std::to_string(job.size()) + "\r\n\r\n" + job,
        "POST / HTTP/1.1\r\nHost: x\r\nTransfer-Encoding: chunked\r\n\r\n400\r\n" + body,
        std::string(body.size(), '\xff'),
    };
    return texts.at(std::uniform_int_distribution<std::size_t>{0, texts.size() - 1}(random));
}

// Sends one load, and stops the process for some of it.
void play_crowd(std::mt19937& random, scheduler_process& scheduler) {
    // Callers, readiness, announcements, metrics and other processes of the system.
    const std::array<std::uint16_t, 6> ports{7310, 7310, 7312, 7313, 7314, 7315};
    const auto port = ports.at(std::uniform_int_distribution<std::size_t>{0, 5}(random));
    const auto connections = std::size_t{1}
                             << std::uniform_int_distribution<unsigned>{3, 11}(random);
    const auto text = random_text(random);
    const bool pauses = random() % 3 == 0;
    CAPTURE(port, connections, pauses, text.substr(0, 40));
    process_peak peak;
    int samples = 0;
    {
        crowd clients{{scheduler.callers().host, port},
                      {.connections = connections,
                       .max_bytes = (64UL << 20U) / connections,
                       .max_ms = 3000,
                       .connects_at_once = true,
                       .sends_once = random() % 2 == 0}};
        clients.send(text, [&] {
            peak.sample(scheduler.process(), scheduler.socket_bytes(port));
            ++samples;
            if (pauses && samples == 5) {
                kill(scheduler.process().id(), SIGSTOP);
            } else if (pauses && samples == 10) {
                kill(scheduler.process().id(), SIGCONT);
            }
        });
    }
    kill(scheduler.process().id(), SIGCONT);
    CHECK(scheduler.process().is_running());
    CHECK(peak.memory < max_memory);
}

TEST_CASE("random crowds leave a scheduler that answers", "[soak]") {
    for (unsigned seed = 1; seed <= seed_count(); ++seed) {
        CAPTURE(seed);
        std::mt19937 random{seed};
        auto scheduler = std::make_unique<scheduler_process>();
        for (int i = 0; i < crowds_of_a_seed; ++i) {
            if (random() % 4 == 0) {
                scheduler.reset();
                scheduler = std::make_unique<scheduler_process>();
            }
            play_crowd(random, *scheduler);
        }
        CHECK(scheduler->status_of(ordinary_request) == 200);
    }
}

}  // namespace
}  // namespace baobabrack
