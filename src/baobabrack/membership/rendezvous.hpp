#ifndef BAOBABRACK_MEMBERSHIP_RENDEZVOUS_HPP
#define BAOBABRACK_MEMBERSHIP_RENDEZVOUS_HPP

#include <cstdint>
#include <string_view>
#include <vector>

#include "baobabrack/units/ids.hpp"

namespace baobabrack {

/// @return the weight of a candidate for a key: uniformly distributed, identical in every process
std::uint64_t rendezvous_weight(std::string_view key, std::string_view candidate);

/// Picks one of the candidates for a key by rendezvous hashing: when a candidate is removed, only
/// the keys assigned to it move.
///
/// @return the candidate with the highest weight; an empty id if there are no candidates
entry_id rendezvous_pick(std::string_view key, const std::vector<entry_id>& candidates);

}  // namespace baobabrack

#endif
