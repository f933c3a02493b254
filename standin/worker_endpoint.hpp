#ifndef BAOBABRACK_STANDIN_WORKER_ENDPOINT_HPP
#define BAOBABRACK_STANDIN_WORKER_ENDPOINT_HPP

#include <map>
#include <vector>

#include "baobabrack/platform.pb.h"
#include "baobabrack/standin.pb.h"
#include "baobabrack/transport/http_server.hpp"
#include "fakes/fake_workers.hpp"

namespace baobabrack::standin {

/// Workers and their inventory over HTTP: `POST /workers/{id}/call`, `GET /workers`,
/// `GET /control/workers`, `POST /control/workers/{id}/{action}`.
class worker_endpoint {
public:
    struct options {
        duration usage_lag{};
        /// Every worker that the inventory lists.
        std::vector<wire::WorkerFacts> listed;
        /// The ones of them that this process runs.
        std::vector<wire::WorkerFacts> served;
    };

    worker_endpoint(runtime& loop, const options& opts);

    /// @return whether the request was for a worker or the inventory
    bool handle(const http_request& request, const http_responder& responder);

private:
    void call(const worker_id& id, const http_request& request, const http_responder& responder);
    http_response control(const worker_id& id, const http_request& request);
    wire::WorkerList inventory() const;
    wire::StandinWorkerStates states() const;

    fakes::fake_workers workers_;
    /// Workers of other processes.
    std::vector<wire::WorkerFacts> remote_workers_;
};

}  // namespace baobabrack::standin

#endif
