#ifndef BAOBABRACK_DAEMON_WORKER_GUARD_PROGRAM_HPP
#define BAOBABRACK_DAEMON_WORKER_GUARD_PROGRAM_HPP

#include <string>

#include "baobabrack/config.pb.h"

namespace baobabrack {

/// Runs the guard of a worker until it is signalled to stop.
///
/// @param file path of the settings, read periodically for new seeds
/// @return the exit code
int run_worker_guard(const wire::Settings& settings, const std::string& file);

}  // namespace baobabrack

#endif
