// Hidden from CI: prints the rows of docs/measurements.md, `test_untrusted_clients "[.many]"`.
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <iostream>
#include <thread>

#include "untrusted_clients/crowd.hpp"
#include "untrusted_clients/daemon_process.hpp"

namespace baobabrack {
namespace {

using testing::crowd;
using testing::guard_process;
using testing::process_peak;
using testing::scheduler_process;
using namespace std::chrono_literals;
using steady = std::chrono::steady_clock;

constexpr auto load_time = 20s;
constexpr auto caller_patience = 3s;

const std::string headers = "Host: fitting.example\r\nApi-Key: hall-key\r\n";
const std::string ordinary_request = "GET /fitting/ HTTP/1.1\r\n" + headers + "\r\n";
const std::string readiness_request = "GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n";

/// Sends a request a second from a thread of its own until it is destroyed.
class ordinary_caller {
public:
    ordinary_caller(http_endpoint to, const std::string& request)
        : thread_([this, to, request] {
              while (!stopping_) {
                  const auto begin = steady::now();
                  ++sent_;
                  const bool is_ok = testing::request_status(to, request) == 200;
                  answered_ += is_ok && steady::now() - begin < caller_patience ? 1 : 0;
                  std::this_thread::sleep_until(begin + 1s);
              }
          }) {}
    ordinary_caller(const ordinary_caller&) = delete;
    ordinary_caller& operator=(const ordinary_caller&) = delete;
    ~ordinary_caller() { stop(); }

    /// @return answered calls of all calls
    std::string stop() {
        stopping_ = true;
        if (thread_.joinable()) {
            thread_.join();
        }
        return std::to_string(answered_) + " of " + std::to_string(sent_);
    }

private:
    std::atomic<bool> stopping_ = false;
    int sent_ = 0;
    int answered_ = 0;
    std::thread thread_;
};

struct kind {
    std::string name;
    std::string text;
    bool sends_once = false;
};

void print_row(const kind& load, std::size_t connections, const process_peak& peak,
               const std::string& answered) {
    std::cout << "| " << load.name << " | " << connections << " | " << peak.memory << " | "
              << peak.descriptors << " | " << answered << " |" << std::endl;
}

template <typename Sample>
void hold_load(const http_endpoint& to, const kind& load, std::size_t connections,
               const Sample& sample) {
    const auto end = steady::now() + load_time;
    crowd clients{
        to, {.connections = connections, .connects_at_once = true, .sends_once = load.sends_once}};
    while (steady::now() < end) {
        clients.send(load.text, sample);
    }
}

std::size_t crowd_size() {
    return GENERATE(as<std::size_t>{}, 8, 256, 2500);
}

TEST_CASE("crowds at the callers' address of a scheduler", "[.many]") {
    const auto body = std::string(15'000, 'x');
    const auto load = GENERATE_COPY(
        kind{"no route", "GET /nothing HTTP/1.1\r\nHost: nowhere.example\r\n\r\n"},
        kind{"status requests", "GET /fitting/job-1 HTTP/1.1\r\n" + headers + "\r\n"},
        kind{"submissions, unreadable bodies",
             "POST /fitting/job-1 HTTP/1.1\r\n" + headers + "Content-Length: 15000\r\n\r\n" + body},
        kind{"cancellations", "DELETE /fitting/0123456789abcdef HTTP/1.1\r\n" + headers + "\r\n"},
        kind{"endless heads", "X-Filler: " + std::string(100, 'x') + "\r\n"},
        kind{"a quarter of a body of 60,000 bytes",
             "POST /fitting/job-1 HTTP/1.1\r\n" + headers + "Content-Length: 60000\r\n\r\n" + body,
             true});
    const auto connections = crowd_size();
    scheduler_process scheduler;
    process_peak peak;
    ordinary_caller caller{scheduler.callers(), ordinary_request};
    ordinary_caller balancer{{scheduler.callers().host, 7312}, readiness_request};
    hold_load(scheduler.callers(), load, connections,
              [&] { peak.sample(scheduler.process(), scheduler.socket_bytes()); });
    const auto answered = caller.stop();
    print_row(load, connections, peak, answered + ", ready " + balancer.stop());
    CHECK(scheduler.process().is_running());
}

TEST_CASE("crowds at the announcements of a guard", "[.many]") {
    const auto load =
        GENERATE(kind{"guard: unknown path", "GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n"},
                 kind{"guard: a quarter of a body of 60,000 bytes",
                      "PUT /-/instances/i-1 HTTP/1.1\r\nHost: x\r\nContent-Length: 60000\r\n\r\n" +
                          std::string(15'000, 'x'),
                      true});
    const auto connections = crowd_size();
    guard_process guard;
    process_peak peak;
    ordinary_caller worker{guard.announcements(),
                           "DELETE /-/instances/i-1 HTTP/1.1\r\nHost: x\r\n\r\n"};
    hold_load(guard.announcements(), load, connections, [&] {
        peak.sample(guard.process(), guard.socket_bytes(guard.announcements().port));
    });
    print_row(load, connections, peak, worker.stop());
    CHECK(guard.process().is_running());
}

}  // namespace
}  // namespace baobabrack
