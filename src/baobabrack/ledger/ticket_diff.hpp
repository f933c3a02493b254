#ifndef BAOBABRACK_LEDGER_TICKET_DIFF_HPP
#define BAOBABRACK_LEDGER_TICKET_DIFF_HPP

#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/units/ids.hpp"

namespace baobabrack {

class directory;

namespace wire {
class Ticket;
}

enum class object_change {
    added,
    changed,
    removed,
    unchanged,
    /// A ticket with a higher number has touched the object: this one has no effect on it.
    superseded,
};

std::string_view to_string(object_change change);

/// What a ticket would do to one object.
struct ticket_difference {
    /// "service", "workspace", "region" or "link".
    std::string kind;
    std::string id;
    object_change change = object_change::unchanged;
    /// The ticket that gave the object its present state; zero if there is none.
    ticket_number present;
    /// One line for each field that changes, with both values.
    std::vector<std::string> fields;
};

/// @return what would change if the ticket were accepted now, object by object
std::vector<ticket_difference> diff_ticket(const wire::Ticket& ticket, const directory& in_force);

}  // namespace baobabrack

#endif
