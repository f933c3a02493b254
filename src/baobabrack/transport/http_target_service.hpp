#ifndef BAOBABRACK_TRANSPORT_HTTP_TARGET_SERVICE_HPP
#define BAOBABRACK_TRANSPORT_HTTP_TARGET_SERVICE_HPP

#include <map>
#include <optional>
#include <utility>

#include "baobabrack/services/target_service.hpp"
#include "baobabrack/transport/http_client.hpp"

namespace baobabrack {

/// Targets over HTTP: `POST /{workspace}/{class}` at each target's own endpoint.
class http_target_service : public target_service {
public:
    /// @return the endpoint of a target, or nothing if it is unknown
    using endpoint_lookup = std::function<std::optional<http_endpoint>(const target_id&)>;

    struct options {
        /// Makes request ids unique across processes and restarts.
        std::string request_id_prefix;
    };

    /// Counts of responses that were not passed on as answered.
    struct counts {
        std::uint64_t mismatched_responses = 0;
        std::uint64_t refused_not_run = 0;
    };

    http_target_service(http_client& client, options opts, endpoint_lookup find_endpoint)
        : client_(client), options_(std::move(opts)), find_endpoint_(std::move(find_endpoint)) {}

    void send(const target_id& target, const target_request& request, reply_callback done) override;
    void abandon(const target_id& target, std::uint64_t request) override;
    void fence(const target_id& target, const workspace_id& workspace, const claim_token& claim,
               std::function<void(ran_state)> done) override;

    const counts& totals() const { return counts_; }

private:
    using call_key = std::pair<target_id, std::uint64_t>;

    target_reply to_target_reply(http_outcome outcome, const std::string& request_id);

    http_client& client_;
    options options_;
    endpoint_lookup find_endpoint_;
    std::map<call_key, http_call_id> calls_;
    counts counts_;
};

/// @return the HTTP call for a request, without the endpoint
http_call make_target_call(const target_request& request, const std::string& request_id);

}  // namespace baobabrack

#endif
