#ifndef BAOBABRACK_DAEMON_SCHEDULER_PROGRAM_HPP
#define BAOBABRACK_DAEMON_SCHEDULER_PROGRAM_HPP

#include "baobabrack/config.pb.h"

namespace baobabrack {

/// Runs a scheduler of workloads until it is told to stop and every caller has its answer.
///
/// @return the exit code: 0 after a whole drain, 1 if calls were still open at its timeout
int run_scheduler(const wire::Settings& settings);

}  // namespace baobabrack

#endif
