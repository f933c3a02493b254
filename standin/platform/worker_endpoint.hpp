#ifndef BAOBABRACK_STANDIN_PLATFORM_WORKER_ENDPOINT_HPP
#define BAOBABRACK_STANDIN_PLATFORM_WORKER_ENDPOINT_HPP

#include <iosfwd>
#include <nlohmann/json.hpp>

#include "baobabrack/runtime/scoped_timer.hpp"
#include "baobabrack/transport/http_client.hpp"
#include "baobabrack/transport/http_server.hpp"
#include "fakes/fake_guarded_worker.hpp"

namespace baobabrack::standin {

/// A worker of the platform: serves its guard's calls and announces itself to the guard.
class worker_endpoint : public http_handler, private fakes::run_listener {
public:
    struct options {
        workload::host_id host;
        rack_id rack;
        /// Endpoint of the guard that receives the announcements.
        http_endpoint guard;
        /// Name of the service in the operator's configuration.
        std::string service;
        duration run_time = std::chrono::milliseconds{900};
        /// Receives a line for each run that starts; may be null.
        std::ostream* run_output = nullptr;
    };

    worker_endpoint(options opts, runtime& loop, http_client& client);

    void handle(http_request request, http_responder responder) override;

private:
    void announce();
    void start(const nlohmann::json& body, const http_responder& responder);
    void stop(const nlohmann::json& body, const http_responder& responder);
    void renew(const nlohmann::json& body, const http_responder& responder);
    void answer(const http_responder& responder, const workload::call_reply& reply,
                nlohmann::json body) const;

    void run_started(const workload::task_name& task, workload::run_number run,
                     const workload::worker_instance& instance) override;
    void run_ended(const workload::task_name& /*task*/, workload::run_number /*run*/,
                   std::optional<workload::run_outcome> /*outcome*/) override {}
    void end_acknowledged(const workload::ended_run& /*end*/, bool /*lease_lapsed*/) override {}
    void over_capacity(const workload::worker_instance& /*instance*/) override {}

    options options_;
    runtime& loop_;
    http_client& client_;
    fakes::fake_guarded_worker worker_;
    fakes::fake_worker_link link_;
    std::uint64_t announcement_sequence_ = 0;
    scoped_timer announce_timer_;
};

}  // namespace baobabrack::standin

#endif
