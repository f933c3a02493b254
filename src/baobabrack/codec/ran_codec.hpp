#ifndef BAOBABRACK_CODEC_RAN_CODEC_HPP
#define BAOBABRACK_CODEC_RAN_CODEC_HPP

#include "baobabrack/records.pb.h"
#include "baobabrack/units/ran_state.hpp"

namespace baobabrack {

/// @return the state; `unknown` for unspecified values and values unknown to this version
ran_state from_wire(wire::RanState ran);

wire::RanState to_wire(ran_state ran);

}  // namespace baobabrack

#endif
