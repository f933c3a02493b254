#ifndef BAOBABRACK_STANDIN_STAND_IN_HPP
#define BAOBABRACK_STANDIN_STAND_IN_HPP

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "baobabrack/transport/event_runtime.hpp"
#include "baobabrack/transport/http_server.hpp"
#include "standin/log_endpoint.hpp"
#include "standin/services.hpp"
#include "standin/target_endpoint.hpp"
#include "standin/worker_endpoint.hpp"

namespace baobabrack::standin {

/// Stands in for the platform on loopback: serves a log, workers and targets, or a selection of
/// them, from one process.
class stand_in : public http_handler {
public:
    struct options {
        http_endpoint listen;
        /// Content of the services file (JSON).
        std::string services;
        /// Parts to serve: "log", "workers", "targets", "worker:ID", "target:ID"; empty: all.
        std::vector<std::string> only;
        /// Receives a line for each run of a target before the run starts; may be null.
        std::ostream* run_output = nullptr;
    };

    /// Throws std::runtime_error, with the remedy in its message, if the stand-in cannot start.
    stand_in(event_runtime& loop, const options& opts);

    void handle(http_request request, http_responder responder) override;

    /// Announces that every target is leaving and calls `done` once no target runs a request.
    void leave(std::function<void()> done) { targets_->leave_all(std::move(done)); }

    std::uint16_t port() const { return server_.port(); }

private:
    http_server server_;
    std::unique_ptr<log_endpoint> log_;
    std::unique_ptr<worker_endpoint> workers_;
    std::unique_ptr<target_endpoint> targets_;
};

}  // namespace baobabrack::standin

#endif
