#ifndef BAOBABRACK_SERVICES_WORKER_SERVICE_HPP
#define BAOBABRACK_SERVICES_WORKER_SERVICE_HPP

#include <functional>

#include "baobabrack/platform.pb.h"
#include "baobabrack/units/failure.hpp"
#include "baobabrack/units/ids.hpp"

namespace baobabrack {

/// Calls the platform's workers. Every call is idempotent and may be repeated after a timeout.
///
/// Failures: `unavailable` (the call was not executed), `timed_out` (it may have been executed). A
/// refusal by the worker is a reply with its status, not a failure.
class worker_service {
public:
    using reply_callback = std::function<void(result<wire::WorkerReply>)>;

    worker_service() = default;
    worker_service(const worker_service&) = delete;
    worker_service& operator=(const worker_service&) = delete;
    virtual ~worker_service() = default;

    /// Sends one call; the callback is called once, later, from the loop.
    virtual void call(const worker_id& worker, const wire::WorkerCall& call,
                      reply_callback done) = 0;
};

}  // namespace baobabrack

#endif
