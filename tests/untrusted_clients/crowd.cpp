#include "untrusted_clients/crowd.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <sys/time.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>

namespace baobabrack::testing {

namespace {

using steady = std::chrono::steady_clock;

int connect_to(const http_endpoint& to, int flags = 0) {
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | flags, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(to.port);
    inet_pton(AF_INET, to.host.c_str(), &address.sin_addr);
    const timeval timeout{.tv_sec = 10, .tv_usec = 0};
    setsockopt(descriptor, SOL_SOCKET, SO_SNDTIMEO, &timeout, sizeof timeout);
    setsockopt(descriptor, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof timeout);
    // The server may leave a connection in its queue, and the first send fails then.
    [[maybe_unused]] const auto status =
        connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address);
    return descriptor;
}

}  // namespace

int request_status(const http_endpoint& to, const std::string& request) {
    const file_descriptor socket{connect_to(to)};
    ::send(socket.get(), request.data(), request.size(), MSG_NOSIGNAL);
    std::array<char, 64> head{};
    const auto count = recv(socket.get(), head.data(), head.size() - 1, 0);
    const std::string text{head.data(), count > 0 ? static_cast<std::size_t>(count) : 0};
    return text.starts_with("HTTP/1.1 ") ? std::stoi(text.substr(9, 3)) : 0;
}

struct crowd::client {
    client(const http_endpoint& to, int flags) : socket(connect_to(to, flags)) {
        fcntl(socket.get(), F_SETFL, O_NONBLOCK);
    }

    file_descriptor socket;
    std::size_t sent = 0;
    bool closed = false;
};

crowd::crowd(http_endpoint to, options opts) : to_(std::move(to)), options_(opts) {
    for (std::size_t i = 0; i < options_.connections; ++i) {
        clients_.push_back(
            std::make_unique<client>(to_, options_.connects_at_once ? SOCK_NONBLOCK : 0));
    }
}

crowd::~crowd() = default;

void crowd::send(const std::string& text, const std::function<void()>& sample) {
    // A large block needs fewer system calls; the remainder of a partial send continues the text.
    std::string block = text;
    while (!options_.sends_once && block.size() < (1UL << 16U)) {
        block += text;
    }
    const auto max_bytes =
        options_.sends_once ? std::min(text.size(), options_.max_bytes) : options_.max_bytes;
    const auto deadline = steady::now() + std::chrono::milliseconds{options_.max_ms};
    auto last_progress = steady::now();
    auto last_sample = steady::now();
    auto last_read = steady::now();
    while (steady::now() < deadline && steady::now() - last_progress < std::chrono::seconds{2}) {
        const bool read_now =
            options_.reads_slowly && steady::now() - last_read > std::chrono::seconds{1};
        if (read_now) {
            last_read = steady::now();
        }
        std::vector<pollfd> waiting;
        for (auto& from : clients_) {
            if (read_now) {
                char byte = 0;
                recv(from->socket.get(), &byte, 1, MSG_DONTWAIT);
            }
            const auto offset = from->sent % block.size();
            const auto count = from->closed || from->sent >= max_bytes
                                   ? 0
                                   : ::send(from->socket.get(), block.data() + offset,
                                            block.size() - offset, MSG_NOSIGNAL | MSG_DONTWAIT);
            if (count > 0) {
                from->sent += static_cast<std::size_t>(count);
                last_progress = steady::now();
            } else if (count < 0 && errno != EAGAIN) {
                from->closed = true;
            }
            if (!from->closed && from->sent < max_bytes) {
                waiting.push_back({.fd = from->socket.get(), .events = POLLOUT, .revents = 0});
            }
        }
        poll(waiting.data(), waiting.size(), 50);
        if (steady::now() - last_sample > std::chrono::milliseconds{50}) {
            last_sample = steady::now();
            sample();
        }
    }
    sample();
}

}  // namespace baobabrack::testing
