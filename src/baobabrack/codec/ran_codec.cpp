#include "baobabrack/codec/ran_codec.hpp"

namespace baobabrack {

ran_state from_wire(wire::RanState ran) {
    switch (ran) {
        case wire::RAN_NO:
            return ran_state::no;
        case wire::RAN_YES:
            return ran_state::yes;
        default:
            return ran_state::unknown;
    }
}

wire::RanState to_wire(ran_state ran) {
    switch (ran) {
        case ran_state::no:
            return wire::RAN_NO;
        case ran_state::yes:
            return wire::RAN_YES;
        case ran_state::unknown:
            return wire::RAN_UNKNOWN;
    }
    return wire::RAN_UNKNOWN;
}

}  // namespace baobabrack
