#ifndef BAOBABRACK_WORKLOAD_QUEUE_ORDER_HPP
#define BAOBABRACK_WORKLOAD_QUEUE_ORDER_HPP

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/job_progress.hpp"
#include "baobabrack/workload/job_spec.hpp"

namespace baobabrack::workload {

/// @return the completion time that the job's queue promises
duration objective_of(const job_spec& spec);

/// Orders waiting jobs of one priority: first the jobs that have not missed their objective, by
/// remaining work; then late jobs, which still earn partial value; then jobs without value. The
/// objective of a scheduled job counts from when its occurrence is due.
///
/// Answers a queue that grows faster than it is served: shortest work first lets most jobs meet
/// their objective, while first come, first served makes all of them late.
///
/// @return the rank; jobs of lower rank are placed first
double rank_of(const job_spec& spec, const job_progress& progress, wall_time wall_now);

}  // namespace baobabrack::workload

#endif
