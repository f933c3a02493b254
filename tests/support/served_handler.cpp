#include "support/served_handler.hpp"

#include "support/loopback.hpp"

namespace baobabrack::testing {

served_handler::served_handler(function answer)
    : answer_(std::move(answer)), thread_([this] { serve(); }) {
    while (port_ == 0) {
        std::this_thread::yield();
    }
}

served_handler::~served_handler() {
    stopping_ = true;
    thread_.join();
}

std::vector<http_request> served_handler::requests() const {
    const std::lock_guard lock{mutex_};
    return requests_;
}

void served_handler::serve() {
    constexpr std::uint64_t seed = 1;
    event_runtime loop{seed};
    function_handler handler{[this](const http_request& request, const http_responder& responder) {
        {
            const std::lock_guard lock{mutex_};
            requests_.push_back(request);
        }
        responder.respond(answer_(request));
    }};
    http_server server{loop, {}, handler};
    const std::function<void()> look = [&] {
        if (stopping_) {
            loop.stop();
            return;
        }
        loop.schedule(std::chrono::milliseconds{1}, look);
    };
    look();
    port_ = server.port();
    loop.run();
}

}  // namespace baobabrack::testing
