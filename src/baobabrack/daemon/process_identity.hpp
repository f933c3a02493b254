#ifndef BAOBABRACK_DAEMON_PROCESS_IDENTITY_HPP
#define BAOBABRACK_DAEMON_PROCESS_IDENTITY_HPP

#include <cstdint>

#include "baobabrack/config.pb.h"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/world/fleet.hpp"

namespace baobabrack {

/// @return the milliseconds since the Unix epoch: an incarnation higher than that of every process
///         started earlier on the host, provided that its wall clock does not go back
incarnation new_incarnation();

/// @return a seed from the system's entropy source
std::uint64_t new_seed();

location to_location(const wire::Location& place);

}  // namespace baobabrack

#endif
