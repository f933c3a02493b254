#ifndef BAOBABRACK_GANGS_TASK_CALLS_HPP
#define BAOBABRACK_GANGS_TASK_CALLS_HPP

#include <chrono>

#include "baobabrack/gangs/job.hpp"
#include "baobabrack/platform.pb.h"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Calls to the worker of one member of an attempt.
wire::TaskKey task_key(const job_id& job, attempt_number attempt);
wire::WorkerCall prepare_call(const job& target, attempt_number attempt, const job_member& member,
                              duration lease);
wire::WorkerCall start_call(const job& committed, const job_member& member, duration lease);
wire::WorkerCall checkpoint_call(const job& committed, const job_member& member);

/// @param token commit offset of the attempt; zero if it was not committed
wire::WorkerCall stop_call(const job_id& job, attempt_number attempt, log_offset token,
                           incarnation version);
wire::WorkerCall throttle_call(const job& committed, const job_member& member,
                               std::uint32_t percent);

/// @return the lease in the wire's unit
std::uint32_t to_lease_ms(duration lease);

}  // namespace baobabrack

#endif
