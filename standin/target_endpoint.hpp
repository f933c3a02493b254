#ifndef BAOBABRACK_STANDIN_TARGET_ENDPOINT_HPP
#define BAOBABRACK_STANDIN_TARGET_ENDPOINT_HPP

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "baobabrack/runtime/scoped_timer.hpp"
#include "baobabrack/transport/http_client.hpp"
#include "standin/target.hpp"

namespace baobabrack::standin {

/// Runs the targets of this process: announces them to every entry and serves
/// `GET /control/targets`, `GET /control/targets/{id}/ran` and
/// `POST /control/targets/{id}/{action}`.
class target_endpoint {
public:
    struct options {
        std::vector<http_endpoint> announce_to;
        duration announce_interval{};
        /// Receives a line for each run before the run starts; may be null.
        std::ostream* run_output = nullptr;
    };

    target_endpoint(event_runtime& loop, options opts, const std::vector<target_config>& configs);

    /// @return whether the request was for the targets' control and is answered here
    bool handle(const http_request& request, const http_responder& responder);

    /// Announces that every target is leaving and calls `done` once all running requests have
    /// finished. Calls after the first have no effect.
    void leave_all(std::function<void()> done);

private:
    http_response control(target& selected, const http_request& request);
    void announce();
    void send(const wire::TargetAnnouncement& announcement);
    void wait_until_idle();

    event_runtime& loop_;
    options options_;
    http_client client_;
    std::map<std::string, std::unique_ptr<target>> targets_;
    scoped_timer timer_;
    scoped_timer leaving_timer_;
    std::function<void()> on_left_;
};

}  // namespace baobabrack::standin

#endif
