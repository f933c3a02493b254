#ifndef BAOBABRACK_LEDGER_TICKET_VALIDATOR_HPP
#define BAOBABRACK_LEDGER_TICKET_VALIDATOR_HPP

#include <vector>

#include "baobabrack/codec/strict_json.hpp"

namespace baobabrack {

class ticket_state;

namespace wire {
class Ticket;
}

/// Checks a ticket against its format and against what would be in force with it.
///
/// @return every error at once; empty if the ticket may be proposed
std::vector<document_problem> validate_ticket(const wire::Ticket& ticket,
                                              const ticket_state& tickets);

}  // namespace baobabrack

#endif
