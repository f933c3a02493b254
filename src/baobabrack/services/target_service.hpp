#ifndef BAOBABRACK_SERVICES_TARGET_SERVICE_HPP
#define BAOBABRACK_SERVICES_TARGET_SERVICE_HPP

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/ran_state.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

struct http_header {
    std::string name;
    std::string value;
};

/// Claim under which a non-idempotent request runs.
struct claim_token {
    idempotency_key key;
    log_offset offset;
};

/// A request to a target or to its guard.
struct target_request {
    /// Unique in the sending process; the answer must return it.
    std::uint64_t id = 0;
    workspace_id workspace;
    std::string request_class;
    std::vector<http_header> headers;
    std::string body;
    /// Remaining time until the caller's deadline.
    duration deadline{};
    std::optional<claim_token> claim;
};

/// Outcome of an exchange with a target.
enum class exchange_outcome {
    /// A complete answer to the request arrived.
    answered,
    /// No byte of the request reached the target.
    not_sent,
    /// The target or its guard refused the request and confirmed that nothing ran.
    refused_not_run,
    /// The request was sent, but no complete answer arrived.
    broken,
    timed_out,
};

struct target_reply {
    exchange_outcome outcome = exchange_outcome::broken;
    /// The request id in the answer; empty if the service has already verified it.
    std::optional<std::uint64_t> id;
    int status = 0;
    std::vector<http_header> headers;
    std::string body;
};

/// Sends requests to targets. Each call of `send` is one exchange.
class target_service {
public:
    using reply_callback = std::function<void(target_reply)>;

    target_service() = default;
    target_service(const target_service&) = delete;
    target_service& operator=(const target_service&) = delete;
    virtual ~target_service() = default;

    /// Sends a request; the callback is called once, later, from the loop.
    virtual void send(const target_id& target, const target_request& request,
                      reply_callback done) = 0;

    /// Cancels an exchange: its callback is dropped and its connection closed.
    virtual void abandon(const target_id& target, std::uint64_t request) = 0;

    /// Asks the target's guard, if there is one, whether a claimed request ran, and fences the key
    /// there. Without a guard, the answer is `unknown`.
    virtual void fence(const target_id& target, const workspace_id& workspace,
                       const claim_token& claim, std::function<void(ran_state)> done) = 0;
};

}  // namespace baobabrack

#endif
