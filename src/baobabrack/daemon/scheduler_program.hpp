#ifndef BAOBABRACK_DAEMON_SCHEDULER_PROGRAM_HPP
#define BAOBABRACK_DAEMON_SCHEDULER_PROGRAM_HPP

#include "baobabrack/config.pb.h"

namespace baobabrack {

/// Runs a workload scheduler until it is signalled to stop and every open call has been answered.
///
/// @return the exit code: 0 after a complete drain, 1 if calls were open at the drain timeout
int run_scheduler(const wire::Settings& settings);

}  // namespace baobabrack

#endif
