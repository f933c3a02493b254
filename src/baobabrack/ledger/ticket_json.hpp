#ifndef BAOBABRACK_LEDGER_TICKET_JSON_HPP
#define BAOBABRACK_LEDGER_TICKET_JSON_HPP

#include <cstddef>
#include <string_view>
#include <vector>

#include "baobabrack/codec/strict_json.hpp"
#include "baobabrack/config.pb.h"

namespace baobabrack {

/// Largest ticket that is read.
constexpr std::size_t max_ticket_bytes = 1U << 20U;

/// A ticket as it was read from JSON.
struct ticket_reading {
    wire::Ticket ticket;
    /// Everything that could not be read; the ticket counts only if this is empty.
    std::vector<document_problem> problems;
};

/// Reads a ticket from JSON. Unknown fields are refused; the ticket is not validated yet.
ticket_reading read_ticket(std::string_view json);

}  // namespace baobabrack

#endif
