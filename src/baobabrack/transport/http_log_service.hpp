#ifndef BAOBABRACK_TRANSPORT_HTTP_LOG_SERVICE_HPP
#define BAOBABRACK_TRANSPORT_HTTP_LOG_SERVICE_HPP

#include "baobabrack/services/log_service.hpp"
#include "baobabrack/transport/http_client.hpp"

namespace baobabrack {

/// The platform's log over HTTP: `POST /log/append` and `GET /log/read`.
class http_log_service : public log_service {
public:
    struct options {
        http_endpoint endpoint;
        duration append_timeout = std::chrono::seconds{2};
        /// Longest time that the service holds a read at the end of the log open.
        duration read_wait = std::chrono::milliseconds{100};
        /// Timeout of a read, in addition to `read_wait`.
        duration read_timeout = std::chrono::seconds{2};
    };

    http_log_service(http_client& client, options opts)
        : client_(client), options_(std::move(opts)) {}

    void append(std::string payload, append_callback done) override;
    void read(log_offset from, std::size_t max_entries, read_callback done) override;

private:
    http_client& client_;
    options options_;
};

}  // namespace baobabrack

#endif
