#ifndef BAOBABRACK_DAEMON_METRICS_HANDLER_HPP
#define BAOBABRACK_DAEMON_METRICS_HANDLER_HPP

#include "baobabrack/metrics/registry.hpp"
#include "baobabrack/transport/http_server.hpp"

namespace baobabrack {

/// Serves a metrics registry in the Prometheus text format under any path.
class metrics_handler : public http_handler {
public:
    explicit metrics_handler(const metrics_registry& metrics) : metrics_(metrics) {}

    void handle(http_request /*request*/, http_responder responder) override {
        responder.respond({.headers = {{"Content-Type", "text/plain; version=0.0.4"}},
                           .body = metrics_.render()});
    }

private:
    const metrics_registry& metrics_;
};

}  // namespace baobabrack

#endif
