#include "support/background_http_server.hpp"

#include "support/loopback.hpp"

namespace baobabrack::testing {

background_http_server::background_http_server(response_function respond)
    : respond_(std::move(respond)), thread_([this] { serve(); }) {
    while (port_ == 0) {
        std::this_thread::yield();
    }
}

background_http_server::~background_http_server() {
    stopping_ = true;
    thread_.join();
}

std::vector<http_request> background_http_server::requests() const {
    const std::lock_guard lock{mutex_};
    return requests_;
}

void background_http_server::serve() {
    constexpr std::uint64_t seed = 1;
    event_runtime loop{seed};
    function_handler handler{[this](const http_request& request, const http_responder& responder) {
        {
            const std::lock_guard lock{mutex_};
            requests_.push_back(request);
        }
        responder.respond(respond_(request));
    }};
    http_server server{loop, {}, handler};
    const std::function<void()> check_stop = [&] {
        if (stopping_) {
            loop.stop();
            return;
        }
        loop.schedule(std::chrono::milliseconds{1}, check_stop);
    };
    check_stop();
    port_ = server.port();
    loop.run();
}

}  // namespace baobabrack::testing
