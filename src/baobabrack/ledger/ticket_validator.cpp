#include "baobabrack/ledger/ticket_validator.hpp"

#include "baobabrack/config.pb.h"
#include "baobabrack/ledger/ticket_errors.hpp"
#include "baobabrack/ledger/ticket_objects.hpp"
#include "baobabrack/ledger/ticket_state.hpp"

namespace baobabrack {

namespace {

constexpr std::size_t max_note_bytes = 1'000;

void check_head(const wire::Ticket& ticket, const ticket_state& tickets, ticket_errors& errors) {
    if (auto free = tickets.check_number(ticket_number{ticket.number()}); !free) {
        errors.add("number", free.error().message, free.error().remedy);
    }
    if (ticket.note().size() > max_note_bytes) {
        errors.add("note",
                   "has " + std::to_string(ticket.note().size()) + " bytes; expected at most " +
                       std::to_string(max_note_bytes),
                   "shorten the note");
    }
    const auto objects = ticket.services_size() + ticket.workspaces_size() + ticket.regions_size() +
                         ticket.links_size();
    if (objects == 0) {
        errors.add("", "touches nothing; expected at least one object",
                   "add a service, workspace, region or link");
    }
}

}  // namespace

std::vector<document_problem> validate_ticket(const wire::Ticket& ticket,
                                              const ticket_state& tickets) {
    auto after = tickets.in_force();
    after.apply(ticket);
    ticket_errors errors;
    check_head(ticket, tickets, errors);
    check_services(ticket, after, errors);
    check_workspaces(ticket, after, errors);
    check_regions(ticket, after, errors);
    check_links(ticket, after, errors);
    return errors.take();
}

}  // namespace baobabrack
