#ifndef BAOBABRACK_TRANSPORT_HTTP_WORKER_SERVICE_HPP
#define BAOBABRACK_TRANSPORT_HTTP_WORKER_SERVICE_HPP

#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "baobabrack/services/worker_service.hpp"
#include "baobabrack/transport/http_client.hpp"

namespace baobabrack {

/// The platform's workers over HTTP: `POST /workers/{id}/call` at each worker's own endpoint.
class http_worker_service : public worker_service {
public:
    /// @return the endpoint of a worker, or nothing if it is unknown
    using endpoint_lookup = std::function<std::optional<http_endpoint>(const worker_id&)>;

    struct options {
        duration timeout = std::chrono::seconds{1};
    };

    http_worker_service(http_client& client, options opts, endpoint_lookup find_endpoint)
        : client_(client), options_(opts), find_endpoint_(std::move(find_endpoint)) {}

    void call(const worker_id& worker, const wire::WorkerCall& call, reply_callback done) override;

private:
    http_client& client_;
    options options_;
    endpoint_lookup find_endpoint_;
};

/// The platform's inventory of workers: `GET /workers`.
class http_worker_inventory {
public:
    using list_callback = std::function<void(result<wire::WorkerList>)>;

    http_worker_inventory(http_client& client, http_endpoint endpoint)
        : client_(client), endpoint_(std::move(endpoint)) {}

    /// Requests the list of all workers. The callback runs exactly once, later, from the event
    /// loop. The list is transferred only if its ETag has changed since the last response.
    void list(list_callback done);

private:
    void handle_response(const http_outcome& outcome, const list_callback& done);

    http_client& client_;
    http_endpoint endpoint_;
    std::string etag_;
    wire::WorkerList cached_list_;
    // Expires with this object, so that late responses are dropped.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace baobabrack

#endif
