#include "support/loopback.hpp"

#include <arpa/inet.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <stdexcept>

namespace baobabrack::testing {

namespace {

constexpr duration test_timeout = std::chrono::seconds{20};

sockaddr_in loopback_address(std::uint16_t port) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

void throw_on_error(int status, const char* message) {
    if (status != 0) {
        throw std::runtime_error(message);
    }
}

}  // namespace

bool run_until(event_runtime& loop, const std::function<bool()>& condition) {
    const auto deadline = loop.now() + test_timeout;
    while (!condition() && loop.now() < deadline) {
        const auto wake = loop.schedule(std::chrono::milliseconds{5}, [] {});
        event_base_loop(loop.base(), EVLOOP_ONCE);
        loop.cancel(wake);
    }
    return condition();
}

struct raw_server::connection {
    raw_server& server;
    file_descriptor socket;
    event_handle readable;
    bool replied = false;
};

raw_server::raw_server(event_runtime& loop, options opts)
    : loop_(loop), options_(std::move(opts)), listener_(socket(AF_INET, SOCK_STREAM, 0)) {
    auto address = loopback_address(0);
    throw_on_error(bind(listener_.get(), reinterpret_cast<sockaddr*>(&address), sizeof address),
                   "no free loopback port");
    throw_on_error(listen(listener_.get(), 16), "cannot listen");
    const auto handle_accept = [](int descriptor, short /*what*/, void* self) {
        static_cast<raw_server*>(self)->accept(::accept(descriptor, nullptr, nullptr));
    };
    readable_.reset(
        event_new(loop.base(), listener_.get(), EV_READ | EV_PERSIST, handle_accept, this));
    event_add(readable_.get(), nullptr);
}

raw_server::~raw_server() = default;

http_endpoint raw_server::endpoint() const {
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(listener_.get(), reinterpret_cast<sockaddr*>(&address), &size);
    return {.host = "127.0.0.1", .port = ntohs(address.sin_port)};
}

void raw_server::accept(int descriptor) {
    ++accepted_connections_;
    auto accepted = std::unique_ptr<connection>(
        new connection{.server = *this, .socket = file_descriptor{descriptor}, .readable = {}});
    const auto handle_read = [](int /*descriptor*/, short /*what*/, void* from) {
        auto& source = *static_cast<connection*>(from);
        source.server.read(source);
    };
    accepted->readable.reset(
        event_new(loop_.base(), descriptor, EV_READ | EV_PERSIST, handle_read, accepted.get()));
    event_add(accepted->readable.get(), nullptr);
    connections_.push_back(std::move(accepted));
}

void raw_server::read(connection& from) {
    std::array<char, 65536> bytes{};
    const auto count = ::read(from.socket.get(), bytes.data(), bytes.size());
    if (count <= 0) {
        event_del(from.readable.get());
        return;
    }
    received_.append(bytes.data(), static_cast<std::size_t>(count));
    if (from.replied) {
        return;
    }
    from.replied = true;
    const auto& reply = options_.reply;
    [[maybe_unused]] const auto sent = write(from.socket.get(), reply.data(), reply.size());
    if (options_.close_after_reply) {
        shutdown(from.socket.get(), SHUT_RDWR);
    }
}

raw_client::raw_client(event_runtime& loop, std::uint16_t port)
    : loop_(loop), socket_(std::make_unique<file_descriptor>(socket(AF_INET, SOCK_STREAM, 0))) {
    const auto address = loopback_address(port);
    throw_on_error(
        ::connect(socket_->get(), reinterpret_cast<const sockaddr*>(&address), sizeof address),
        "cannot connect to the server");
    const auto handle_read = [](int descriptor, short /*what*/, void* self) {
        auto& client = *static_cast<raw_client*>(self);
        std::array<char, 65536> bytes{};
        const auto count = ::read(descriptor, bytes.data(), bytes.size());
        if (count > 0) {
            client.received_.append(bytes.data(), static_cast<std::size_t>(count));
            return;
        }
        client.closed_by_peer_ = true;
        event_del(client.readable_.get());
    };
    readable_.reset(
        event_new(loop.base(), socket_->get(), EV_READ | EV_PERSIST, handle_read, this));
    event_add(readable_.get(), nullptr);
}

raw_client::~raw_client() = default;

void raw_client::send(const std::string& bytes) {
    [[maybe_unused]] const auto sent =
        ::send(socket_->get(), bytes.data(), bytes.size(), MSG_NOSIGNAL);
}

void raw_client::close() {
    readable_.reset();
    socket_.reset();
}

}  // namespace baobabrack::testing
