// Strangers at the port that serves the other processes of the system.
#include <sys/resource.h>

#include <array>
#include <catch2/catch.hpp>
#include <thread>

#include "baobabrack/peer.pb.h"
#include "baobabrack/transport/event_runtime.hpp"
#include "baobabrack/transport/zmq_network.hpp"
#include "untrusted_clients/crowd.hpp"
#include "untrusted_clients/daemon_process.hpp"

namespace baobabrack {
namespace {

using testing::crowd;
using testing::guard_process;
using testing::process_peak;
using testing::scheduler_process;
using namespace std::chrono_literals;

constexpr std::size_t max_memory = 64UL << 20U;
constexpr std::size_t max_guard_memory = 96UL << 20U;
// 4,100 descriptors of the smallest machine, less 200 for files.
constexpr std::size_t max_descriptors = 3900;
constexpr std::uint16_t peers_port = 7315;
constexpr std::uint16_t guard_peers_port = 7325;

const std::string ordinary_request =
    "GET /fitting/ HTTP/1.1\r\nHost: fitting.example\r\nApi-Key: hall-key\r\n\r\n";

// Returns the beginning of a ZMTP 3.0 connection without encryption, up to and including the
// client's READY command (https://rfc.zeromq.org/spec/23/).
std::string handshake() {
    std::string greeting{"\xff\0\0\0\0\0\0\0\0\x7f\x03\0NULL", 16};
    greeting.resize(64, '\0');
    const std::string body{
        "\x05READY\x0bSocket-Type\0\0\0\x06"
        "DEALER",
        28};
    return greeting + '\x04' + static_cast<char>(body.size()) + body;
}

// Returns a frame that lacks its last byte.
std::string incomplete_frame(std::size_t bytes) {
    std::string frame{'\x02'};
    for (int shift = 56; shift >= 0; shift -= 8) {
        frame += static_cast<char>(bytes >> static_cast<unsigned>(shift));
    }
    return frame + std::string(bytes - 1, 'x');
}

// Sends messages as another process of the system does, and gives the receiver time to act on them.
void send_messages(const http_endpoint& to, const std::vector<wire::PeerMessage>& messages) {
    event_runtime loop{1};
    zmq_network network{loop, {.id = "stranger", .endpoint = "tcp://127.0.0.1:*"}};
    network.connect("receiver", "tcp://" + to.host + ":" + std::to_string(to.port));
    loop.schedule(500ms, [&] {
        for (const auto& message : messages) {
            network.send("receiver", message);
        }
    });
    loop.schedule(2s, [&] { loop.stop(); });
    loop.run();
}

// Guards against a socket for each process that a message names.
TEST_CASE("messages that name many schedulers are survived", "[peers]") {
    scheduler_process scheduler;
    std::vector<wire::PeerMessage> messages(1200);
    for (std::size_t i = 0; i < messages.size(); ++i) {
        auto& ping = *messages[i].mutable_workload_ping();
        ping.set_scheduler("s" + std::to_string(i));
        ping.set_zmq_endpoint("tcp://127.0.0.9:" + std::to_string(20'000 + i));
    }
    send_messages(scheduler.peers(), messages);
    CHECK(scheduler.process().is_running());
    CHECK(scheduler.process().peak_memory() < max_memory);
    CHECK(scheduler.process().descriptors() < max_descriptors);
    CHECK(scheduler.status_of(ordinary_request) == 200);
}

TEST_CASE("reports that name many guards are survived", "[peers]") {
    scheduler_process scheduler;
    std::vector<wire::PeerMessage> messages(1200);
    for (std::size_t i = 0; i < messages.size(); ++i) {
        auto& report = *messages[i].mutable_workload_report();
        report.set_host("h" + std::to_string(i));
        report.set_zmq_endpoint("tcp://127.0.0.9:" + std::to_string(20'000 + i));
        report.set_guard_incarnation(1);
        report.set_sequence(1);
    }
    send_messages(scheduler.peers(), messages);
    CHECK(scheduler.process().is_running());
    CHECK(scheduler.process().peak_memory() < max_memory);
    CHECK(scheduler.process().descriptors() < max_descriptors);
    CHECK(scheduler.status_of(ordinary_request) == 200);
}

// Guards against connections to peers that use up the descriptors of the other servers.
TEST_CASE("silent connections of strangers leave descriptors for callers", "[peers]") {
    constexpr rlim_t low_limit = 520;
    rlimit usual{};
    REQUIRE(getrlimit(RLIMIT_NOFILE, &usual) == 0);
    const rlimit low{.rlim_cur = low_limit, .rlim_max = usual.rlim_max};
    REQUIRE(setrlimit(RLIMIT_NOFILE, &low) == 0);
    scheduler_process scheduler;
    REQUIRE(setrlimit(RLIMIT_NOFILE, &usual) == 0);
    const crowd strangers{scheduler.peers(), {.connections = 560}};
    // All of them must have been accepted.
    std::this_thread::sleep_for(1s);
    CHECK(scheduler.process().is_running());
    CHECK(scheduler.process().descriptors() < low_limit);
    CHECK(scheduler.status_of(ordinary_request) == 200);
}

// Guards against memory for messages that are announced and never completed.
TEST_CASE("incomplete messages of strangers are bounded", "[peers]") {
    struct load {
        std::size_t connections;
        std::size_t frame_bytes;
    };
    const auto kind = GENERATE(load{.connections = 32, .frame_bytes = 4UL << 20U},
                               load{.connections = 256, .frame_bytes = 256UL << 10U});
    scheduler_process scheduler;
    process_peak peak;
    const auto text = handshake() + incomplete_frame(kind.frame_bytes);
    crowd strangers{scheduler.peers(), {.connections = kind.connections, .max_bytes = text.size()}};
    strangers.send(text,
                   [&] { peak.sample(scheduler.process(), scheduler.socket_bytes(peers_port)); });
    CHECK(scheduler.process().is_running());
    CHECK(peak.memory < max_memory);
    CHECK(peak.descriptors < max_descriptors);
    CHECK(scheduler.status_of(ordinary_request) == 200);
}

// ZeroMQ keeps the parts of a message until the last one, without a limit.
TEST_CASE("messages of endless parts are bounded", "[peers][known-red]") {
    constexpr std::size_t part_bytes = 64UL << 10U;
    scheduler_process scheduler;
    process_peak peak;
    std::string text = handshake();
    for (int part = 0; part < 32; ++part) {
        auto frame = incomplete_frame(part_bytes) + 'x';
        frame[0] = '\x03';  // large, and more parts follow
        text += frame;
    }
    crowd strangers{scheduler.peers(), {.connections = 64, .sends_once = true}};
    strangers.send(text,
                   [&] { peak.sample(scheduler.process(), scheduler.socket_bytes(peers_port)); });
    CHECK(scheduler.process().is_running());
    CHECK(peak.memory < max_memory);
    CHECK(scheduler.status_of(ordinary_request) == 200);
}

TEST_CASE("incomplete messages of strangers to a guard are bounded", "[peers]") {
    guard_process guard;
    process_peak peak;
    const auto text = handshake() + incomplete_frame(4UL << 20U);
    crowd strangers{guard.peers(), {.connections = 64, .sends_once = true}};
    strangers.send(text,
                   [&] { peak.sample(guard.process(), guard.socket_bytes(guard_peers_port)); });
    CHECK(guard.process().is_running());
    CHECK(peak.memory < max_guard_memory);
    CHECK(peak.descriptors < max_descriptors);
    CHECK(guard.announcement_status() == 200);
}

}  // namespace
}  // namespace baobabrack
