#ifndef BAOBABRACK_WORKLOAD_WORKER_PORT_HPP
#define BAOBABRACK_WORKLOAD_WORKER_PORT_HPP

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

/// Fencing token of a call to a worker. A worker rejects a call whose token is lower than the
/// highest one that it has seen.
using fencing_token = strong_type<struct fencing_token_tag, std::uint64_t>;

/// A point in time on a worker's own clock, in milliseconds.
using worker_time = strong_type<struct worker_time_tag, std::int64_t>;

/// Outcome of a call to the worker.
enum class call_outcome {
    accepted,
    /// The token is lower than the highest one that the worker has seen.
    fenced,
    /// The run was already stopped or has already ended on the worker.
    outdated,
    /// The lease in the call had expired when the call arrived.
    late,
    /// The worker lacks free capacity for the run.
    no_room,
    /// The worker did nothing; a later attempt may succeed.
    unavailable,
    /// The call could not be sent; the worker may have crashed.
    unreachable,
    /// The worker did nothing and rejects the call permanently.
    rejected,
    /// Another instance of the worker answered.
    other_worker,
    /// No answer arrived; the call may have been carried out or may still be carried out later.
    unanswered,
    /// The same, because the connection broke: the worker may have crashed.
    disconnected,
};

std::string_view to_string(call_outcome outcome);

struct call_reply {
    call_outcome outcome = call_outcome::unanswered;
    /// The worker's clock when it answered, if the answer contains it.
    std::optional<worker_time> clock;
};

struct renew_reply {
    call_reply reply;
    /// Valid only if the call was accepted.
    run_lists lists;
};

/// Interface for calls to the worker on this host.
class worker_port {
public:
    struct renew_call {
        worker_instance worker;
        fencing_token token;
        /// Run ends up to this number are stored, so that the worker may discard them.
        std::uint64_t acknowledged_ends = 0;
        /// New expiry time of the lease; without it the lease is not extended.
        std::optional<worker_time> lease_until;
        /// How long the worker may wait for a run to end before it answers (long poll).
        duration wait{};
        duration timeout{};
    };
    struct start_call {
        worker_instance worker;
        start_order run;
        fencing_token token;
        worker_time lease_until;
        duration timeout{};
    };
    struct stop_call {
        worker_instance worker;
        stop_order run;
        fencing_token token;
        duration timeout{};
    };

    worker_port() = default;
    worker_port(const worker_port&) = delete;
    worker_port& operator=(const worker_port&) = delete;
    virtual ~worker_port() = default;

    /// Extends the lease and lists the worker's runs and run ends.
    ///
    /// Callbacks of this and the other calls run exactly once, later, from the event loop.
    virtual void renew(const renew_call& call, std::function<void(renew_reply)> done) = 0;
    virtual void start(const start_call& call, std::function<void(call_reply)> done) = 0;
    virtual void stop(const stop_call& call, std::function<void(call_reply)> done) = 0;
};

}  // namespace baobabrack::workload

#endif
