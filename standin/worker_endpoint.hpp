#ifndef BAOBABRACK_STANDIN_WORKER_ENDPOINT_HPP
#define BAOBABRACK_STANDIN_WORKER_ENDPOINT_HPP

#include <map>
#include <vector>

#include "baobabrack/platform.pb.h"
#include "baobabrack/standin.pb.h"
#include "baobabrack/transport/http_server.hpp"
#include "fakes/fake_workers.hpp"

namespace baobabrack::standin {

/// Serves workers and their inventory over HTTP: `POST /workers/{id}/call`, `GET /workers`,
/// `GET /control/workers`, `POST /control/workers/{id}/{action}`.
class worker_endpoint {
public:
    struct options {
        duration usage_lag{};
        /// All workers in the inventory.
        std::vector<wire::WorkerFacts> listed;
        /// The listed workers that run in this process.
        std::vector<wire::WorkerFacts> served;
    };

    worker_endpoint(runtime& loop, const options& opts);

    /// @return whether the request was for a worker or the inventory and is answered here
    bool handle(const http_request& request, const http_responder& responder);

private:
    void call(const worker_id& id, const http_request& request, const http_responder& responder);
    http_response control(const worker_id& id, const http_request& request);
    wire::WorkerList inventory() const;
    wire::StandinWorkerStates states() const;

    fakes::fake_workers workers_;
    /// Workers in the inventory that run in other processes.
    std::vector<wire::WorkerFacts> remote_workers_;
};

}  // namespace baobabrack::standin

#endif
