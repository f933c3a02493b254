#ifndef BAOBABRACK_WORKLOAD_WORKER_PORT_HPP
#define BAOBABRACK_WORKLOAD_WORKER_PORT_HPP

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

/// Orders the calls of one worker's callers: the worker does nothing for a lower one than it has
/// seen.
using fencing_token = strong_type<struct fencing_token_tag, std::uint64_t>;

/// A moment on a worker's own clock.
using worker_clock = strong_type<struct worker_clock_tag, std::int64_t>;

/// How a call to the worker ended.
enum class call_end {
    accepted,
    /// The token is lower than one that the worker has seen.
    fenced,
    /// That run has been stopped or has ended there.
    outdated,
    /// The lease in the call has lapsed.
    late,
    no_room,
    /// The worker did nothing, for now.
    unavailable,
    /// The worker did nothing and never will.
    rejected,
    /// Another life of the worker answered.
    other_worker,
    /// It may have been carried out, or may be later.
    unanswered,
};

std::string_view to_string(call_end end);

struct call_reply {
    call_end end = call_end::unanswered;
    /// Milliseconds of the worker's clock when it answered, if it said so.
    std::optional<worker_clock> clock;
};

struct hold_reply {
    call_reply reply;
    /// Meaningful if the call was accepted.
    hold_lists lists;
};

/// The worker on this host.
class worker_port {
public:
    struct hold_call {
        worker_life worker;
        fencing_token token;
        /// Ends up to this number are stored and may be forgotten.
        std::uint64_t ends_seen = 0;
        /// What the lease is extended to, if it is.
        std::optional<worker_clock> lease;
        /// How long the worker may wait for an end before it answers.
        duration wait{};
        duration timeout{};
    };
    struct start_call {
        worker_life worker;
        wanted_run run;
        fencing_token token;
        worker_clock lease;
        duration timeout{};
    };
    struct stop_call {
        worker_life worker;
        unwanted_run run;
        fencing_token token;
        duration timeout{};
    };

    worker_port() = default;
    worker_port(const worker_port&) = delete;
    worker_port& operator=(const worker_port&) = delete;
    virtual ~worker_port() = default;

    /// Extends the lease and lists runs and ends. Callbacks run later, once, from the loop.
    virtual void hold(const hold_call& call, std::function<void(hold_reply)> done) = 0;
    virtual void start(const start_call& call, std::function<void(call_reply)> done) = 0;
    virtual void stop(const stop_call& call, std::function<void(call_reply)> done) = 0;
};

}  // namespace baobabrack::workload

#endif
