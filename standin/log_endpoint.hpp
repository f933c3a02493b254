#ifndef BAOBABRACK_STANDIN_LOG_ENDPOINT_HPP
#define BAOBABRACK_STANDIN_LOG_ENDPOINT_HPP

#include "baobabrack/standin.pb.h"
#include "baobabrack/transport/http_server.hpp"
#include "fakes/fake_log.hpp"

namespace baobabrack::standin {

/// Serves the platform's log over HTTP: `POST /log/append`, `GET /log/read` and
/// `POST|GET /control/log`.
class log_endpoint {
public:
    log_endpoint(runtime& loop, const wire::StandinLog& settings);

    /// @return whether the request was for the log and is answered here
    bool handle(const http_request& request, const http_responder& responder);

private:
    void append(const http_request& request, const http_responder& responder);
    void read(const http_request& request, const http_responder& responder);
    void control(const http_request& request);

    fakes::fake_log log_;
    bool down_ = false;
};

}  // namespace baobabrack::standin

#endif
