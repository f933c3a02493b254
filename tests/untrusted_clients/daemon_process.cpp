#include "untrusted_clients/daemon_process.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "untrusted_clients/crowd.hpp"

namespace baobabrack::testing {

namespace {

constexpr std::size_t bytes_per_kib = 1024;

// Each test process has an address in 127.64.0.0/10, so that fixed ports do not collide.
std::string own_address() {
    const auto id = static_cast<unsigned>(getpid());
    return "127." + std::to_string(64 + ((id >> 16U) & 63U)) + "." +
           std::to_string((id >> 8U) & 255U) + "." + std::to_string(id & 255U);
}

std::filesystem::path settings_file(const std::string& role) {
    return std::filesystem::temp_directory_path() /
           ("untrusted-clients-" + role + "-" + std::to_string(getpid()) + ".json");
}

void remove_file(const std::string& file) {
    std::error_code error;
    std::filesystem::remove(file, error);
}

/// Throws std::runtime_error if the condition does not hold within 10 s.
template <typename Condition>
void wait_until(const Condition& holds, const std::string& failure) {
    constexpr int attempts = 100;
    for (int attempt = 0; attempt < attempts; ++attempt) {
        if (holds()) {
            return;
        }
        std::this_thread::sleep_for(std::chrono::milliseconds{100});
    }
    throw std::runtime_error(failure);
}

std::size_t queued_bytes(const std::string& host, std::uint16_t port) {
    in_addr address{};
    inet_pton(AF_INET, host.c_str(), &address);
    std::array<char, 16> wanted{};
    std::snprintf(wanted.data(), wanted.size(), "%08X:%04X", address.s_addr, port);
    std::ifstream table{"/proc/net/tcp"};
    std::string line;
    std::size_t total = 0;
    while (std::getline(table, line)) {
        std::istringstream fields{line};
        std::string slot;
        std::string local;
        std::string remote;
        std::string state;
        std::string queues;
        fields >> slot >> local >> remote >> state >> queues;
        // State 0A is a listening socket, whose queue counts connections.
        if (local == wanted.data() && state != "0A") {
            total += std::stoul(queues.substr(0, 8), nullptr, 16) +
                     std::stoul(queues.substr(9), nullptr, 16);
        }
    }
    return total;
}

std::string readiness_request() {
    return "GET /-/readiness HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
}

}  // namespace

child_process::child_process(std::vector<std::string> command) : id_(fork()) {
    if (id_ < 0) {
        throw std::runtime_error("cannot start " + command[0]);
    }
    if (id_ > 0) {
        return;
    }
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int sink = open("/dev/null", O_WRONLY);
    dup2(sink, STDOUT_FILENO);
    std::vector<char*> arguments;
    for (auto& part : command) {
        arguments.push_back(part.data());
    }
    arguments.push_back(nullptr);
    execv(arguments[0], arguments.data());
    _exit(127);
}

child_process::~child_process() {
    if (is_running()) {
        kill(id_, SIGKILL);
        waitpid(id_, nullptr, 0);
    }
}

bool child_process::is_running() {
    if (running_ && waitpid(id_, nullptr, WNOHANG) == id_) {
        running_ = false;
    }
    return running_;
}

std::size_t child_process::peak_memory() const {
    std::ifstream status{"/proc/" + std::to_string(id_) + "/status"};
    std::string line;
    while (std::getline(status, line)) {
        if (line.starts_with("VmHWM:")) {
            return std::stoul(line.substr(6)) * bytes_per_kib;
        }
    }
    return 0;
}

std::size_t child_process::descriptors() const {
    std::error_code error;
    std::filesystem::directory_iterator entries{"/proc/" + std::to_string(id_) + "/fd", error};
    return static_cast<std::size_t>(std::distance(begin(entries), end(entries)));
}

void process_peak::sample(const child_process& process, std::size_t queued) {
    memory = std::max(memory, process.peak_memory() + queued);
    descriptors = std::max(descriptors, process.descriptors());
}

scheduler_process::scheduler_process(const std::string& settings, const std::string& clients)
    : host_(own_address()),
      file_(write_settings(settings, clients)),
      platform_({PLATFORM_STANDIN, "--store", host_ + ":7311", "--config", PLATFORM_CONFIG}),
      scheduler_({BAOBABRACKD, "--settings", file_}) {
    wait_until([this] { return status_of(readiness_request(), 7312) == 200; },
               "the scheduler does not become ready");
}

scheduler_process::~scheduler_process() {
    remove_file(file_);
}

int scheduler_process::status_of(const std::string& request, std::uint16_t port) const {
    return request_status({host_, port}, request);
}

std::size_t scheduler_process::socket_bytes(std::uint16_t port) const {
    return queued_bytes(host_, port);
}

std::string scheduler_process::write_settings(const std::string& settings,
                                              const std::string& clients) const {
    const auto file = settings_file("scheduler");
    std::ofstream out{file};
    out << R"({"id": "s1", "location": {"region": "r", "data_centre": "d"}, "clients": {)"
        << clients << R"(}, "scheduler": {)" << settings << R"("listen": ")" << host_
        << R"(:7310", "readiness": ")" << host_ << R"(:7312", "announcements": ")" << host_
        << R"(:7313", "store": ")" << host_ << R"(:7311", "metrics": ")" << host_
        << R"(:7314", "zmq_endpoint": "tcp://)" << host_
        << R"(:7315", "bounds": {"config_apply_ms": 60000, "revocation_ms": 60000,
             "grace_period_s": 10, "most_lease_ms": 10000, "visible_ms": 60000,
             "status_retention_s": 600}}})";
    return file.string();
}

guard_process::guard_process()
    : host_(own_address()), file_(write_settings()), guard_({BAOBABRACKD, "--settings", file_}) {
    wait_until([this] { return announcement_status() == 200; },
               "the guard does not accept announcements");
}

guard_process::~guard_process() {
    remove_file(file_);
}

int guard_process::announcement_status() const {
    return request_status(announcements(), "DELETE /-/instances/i-1 HTTP/1.1\r\nHost: x\r\n\r\n");
}

std::size_t guard_process::socket_bytes(std::uint16_t port) const {
    return queued_bytes(host_, port);
}

std::string guard_process::write_settings() const {
    const auto file = settings_file("guard");
    std::ofstream out{file};
    out << R"({"id": "g1", "location": {"region": "r", "data_centre": "d"}, "worker_guard": {)"
        << R"("announcements": ")" << host_ << R"(:7323", "worker": ")" << host_
        << R"(:7321", "metrics": ")" << host_ << R"(:7324", "zmq_endpoint": "tcp://)" << host_
        << R"(:7325", "scheduler_zmq_port": 7315, "bounds": {"contact_timeout_ms": 4000}}})";
    return file.string();
}

}  // namespace baobabrack::testing
