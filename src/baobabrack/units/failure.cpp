#include "baobabrack/units/failure.hpp"

#include <ostream>

namespace baobabrack {

std::string_view to_string(failure_kind kind) {
    switch (kind) {
        case failure_kind::invalid:
            return "invalid";
        case failure_kind::not_found:
            return "not-found";
        case failure_kind::conflict:
            return "conflict";
        case failure_kind::unavailable:
            return "unavailable";
        case failure_kind::timed_out:
            return "timed-out";
        case failure_kind::exhausted:
            return "exhausted";
        case failure_kind::fenced:
            return "fenced";
        case failure_kind::expired:
            return "expired";
        case failure_kind::forbidden:
            return "forbidden";
    }
    return "unknown";
}

std::ostream& operator<<(std::ostream& out, const failure& error) {
    out << error.message;
    if (!error.remedy.empty()) {
        out << " (" << error.remedy << ")";
    }
    return out;
}

}  // namespace baobabrack
