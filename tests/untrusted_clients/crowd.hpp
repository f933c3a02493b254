#ifndef BAOBABRACK_TESTS_UNTRUSTED_CLIENTS_CROWD_HPP
#define BAOBABRACK_TESTS_UNTRUSTED_CLIENTS_CROWD_HPP

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "baobabrack/transport/event_handles.hpp"
#include "baobabrack/transport/http_types.hpp"

namespace baobabrack::testing {

/// Sends one request on a connection of its own.
///
/// @return the status of the response, or 0 if none was received within 10 s
int request_status(const http_endpoint& to, const std::string& request);

/// Connections that send a text over and over and read little or nothing. The load is bounded in
/// connections, bytes and time.
class crowd {
public:
    struct options {
        std::size_t connections = 8;
        /// For each connection.
        std::size_t max_bytes = 8UL << 20U;
        int max_ms = 8000;
        /// Whether each connection reads one byte a second, instead of nothing.
        bool reads_slowly = false;
        /// Whether connections are opened without waiting for the server to accept them.
        bool connects_at_once = false;
        /// Whether the text is sent only once, instead of repeatedly.
        bool sends_once = false;
    };

    crowd(http_endpoint to, options opts);
    ~crowd();

    /// Sends until a bound is reached or until no connection has accepted a byte for 2 s.
    ///
    /// @param text   sent repeatedly on each connection
    /// @param sample called about every 50 ms
    void send(const std::string& text, const std::function<void()>& sample);

private:
    struct client;

    http_endpoint to_;
    options options_;
    std::vector<std::unique_ptr<client>> clients_;
};

}  // namespace baobabrack::testing

#endif
