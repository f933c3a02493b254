#ifndef BAOBABRACK_UNITS_RAN_STATE_HPP
#define BAOBABRACK_UNITS_RAN_STATE_HPP

#include <string_view>

namespace baobabrack {

/// Whether the work of a request was executed. `no` is used only if it is certain that it was not.
enum class ran_state { no, yes, unknown };

/// @return "no", "yes" or "unknown", as written in refusals
constexpr std::string_view to_string(ran_state ran) {
    switch (ran) {
        case ran_state::no:
            return "no";
        case ran_state::yes:
            return "yes";
        case ran_state::unknown:
            return "unknown";
    }
    return "unknown";
}

}  // namespace baobabrack

#endif
