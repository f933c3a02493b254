#ifndef BAOBABRACK_DAEMON_METRICS_HANDLER_HPP
#define BAOBABRACK_DAEMON_METRICS_HANDLER_HPP

#include "baobabrack/metrics/registry.hpp"
#include "baobabrack/transport/http_server.hpp"

namespace baobabrack {

/// Serves the use of the client limits under `/clients`, and a metrics registry in the Prometheus
/// text format under any other path.
class metrics_handler : public http_handler {
public:
    metrics_handler(const metrics_registry& metrics, const client_limits& limits)
        : metrics_(metrics), limits_(limits) {}

    void handle(http_request request, http_responder responder) override {
        if (request.path == "/clients") {
            responder.respond(
                {.headers = {{"Content-Type", "application/json"}}, .body = limits_.to_json()});
            return;
        }
        responder.respond({.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                           .body = metrics_.render()});
    }

private:
    const metrics_registry& metrics_;
    const client_limits& limits_;
};

}  // namespace baobabrack

#endif
