#ifndef BAOBABRACK_LEDGER_TICKET_OBJECTS_HPP
#define BAOBABRACK_LEDGER_TICKET_OBJECTS_HPP

#include <algorithm>
#include <set>
#include <string>

#include "baobabrack/ledger/ticket_errors.hpp"
#include "baobabrack/world/directory.hpp"

namespace baobabrack {

/// Checks of one kind of object each; `after` is what would be in force with the ticket.
void check_services(const wire::Ticket& ticket, const directory& after, ticket_errors& errors);
void check_workspaces(const wire::Ticket& ticket, const directory& after, ticket_errors& errors);
void check_regions(const wire::Ticket& ticket, const directory& after, ticket_errors& errors);
void check_links(const wire::Ticket& ticket, const directory& after, ticket_errors& errors);

/// Checks the ids of a list: their form, and that none stands twice.
template <typename Objects>
void check_ids(const std::string& list, const Objects& objects, ticket_errors& errors) {
    std::set<std::string> seen;
    for (int i = 0; i < objects.size(); ++i) {
        const auto path = element_path(list, i) + ".id";
        errors.check_id(path, objects[i].id());
        if (!seen.insert(objects[i].id()).second) {
            errors.add(path, "\"" + objects[i].id() + "\" stands twice in this ticket",
                       "put the object's whole new state into one place");
        }
    }
}

/// @return whether the table has the object and it is not removed
template <typename Object>
bool is_live(const directory::table<Object>& table, const std::string& id) {
    const auto found = table.find(id);
    return found != table.end() && !found->second.object.removed();
}

/// @return the id of the first live object for which `refers` holds; empty if there is none
template <typename Object, typename Predicate>
std::string find_referrer(const directory::table<Object>& table, Predicate refers) {
    const auto found = std::find_if(table.begin(), table.end(), [&](const auto& item) {
        return !item.second.object.removed() && refers(item.second.object);
    });
    return found == table.end() ? std::string() : found->first;
}

}  // namespace baobabrack

#endif
