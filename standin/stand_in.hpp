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

/// The platform's place-holder: a log, workers and targets in one process on loopback, or the
/// part of them that is asked for.
class stand_in : public http_handler {
public:
    struct options {
        http_endpoint listen;
        /// JSON of the services.
        std::string services;
        /// Parts to serve: "log", "workers", "targets", "worker:ID", "target:ID"; empty: all.
        std::vector<std::string> only;
        /// Where targets note each run before it starts; null for nowhere.
        std::ostream* run_output = nullptr;
    };

    /// Throws std::runtime_error, whose text names the remedy, if it cannot start.
    stand_in(event_runtime& loop, const options& opts);

    void handle(http_request request, http_responder responder) override;

    /// Takes every target out of service and calls `done` when nothing runs there.
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
