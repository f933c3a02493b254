#ifndef BAOBABRACK_DAEMON_WORKER_GUARD_PROGRAM_HPP
#define BAOBABRACK_DAEMON_WORKER_GUARD_PROGRAM_HPP

#include <string>

#include "baobabrack/config.pb.h"

namespace baobabrack {

/// Runs the guard beside a worker until it is told to stop.
///
/// @param file the settings came from, read again for new seeds
/// @return the exit code
int run_worker_guard(const wire::Settings& settings, const std::string& file);

}  // namespace baobabrack

#endif
