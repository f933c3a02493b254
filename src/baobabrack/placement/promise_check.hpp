#ifndef BAOBABRACK_PLACEMENT_PROMISE_CHECK_HPP
#define BAOBABRACK_PLACEMENT_PROMISE_CHECK_HPP

#include <vector>

#include "baobabrack/config.pb.h"
#include "baobabrack/units/failure.hpp"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/world/fleet.hpp"

namespace baobabrack {

/// A workspace with the guarantees that it is to have.
struct promised_workspace {
    workspace_id workspace;
    std::vector<wire::Guarantee> guarantees;
};

/// Checks that all guarantees can be met at once by the workers, whatever runs on them now.
///
/// @param promised every workspace that will be in force, not only the changed ones
/// @return `exhausted`, naming each guarantee that finds no place
result<void> check_promises(const std::vector<promised_workspace>& promised, const fleet& workers);

}  // namespace baobabrack

#endif
