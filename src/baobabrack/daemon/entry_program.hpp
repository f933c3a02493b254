#ifndef BAOBABRACK_DAEMON_ENTRY_PROGRAM_HPP
#define BAOBABRACK_DAEMON_ENTRY_PROGRAM_HPP

#include "baobabrack/config.pb.h"

namespace baobabrack {

/// Runs an entry until it is signalled to stop and has drained.
///
/// @return the exit code: 0 after a complete drain, 1 if requests were open at the drain timeout
int run_entry(const wire::Settings& settings);

}  // namespace baobabrack

#endif
