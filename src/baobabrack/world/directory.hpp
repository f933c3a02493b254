#ifndef BAOBABRACK_WORLD_DIRECTORY_HPP
#define BAOBABRACK_WORLD_DIRECTORY_HPP

#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/config.pb.h"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Which property of a workspace matched the identifier that a caller sent.
enum class name_match { id, name, former_name };

struct workspace_match {
    const wire::Workspace* workspace = nullptr;
    name_match how = name_match::id;
};

/// The services, workspaces, regions and links defined by the tickets in force.
///
/// The ticket with the highest number determines the state of each object it contains, regardless
/// of the order in which the tickets are applied.
class directory {
public:
    /// An object with the number of the ticket that determined its state.
    template <typename Object>
    struct versioned {
        Object object;
        ticket_number ticket;
    };
    template <typename Object>
    using table = std::map<std::string, versioned<Object>>;

    /// Applies the objects of a valid ticket, except those that a ticket with the same or a higher
    /// number has set.
    void apply(const wire::Ticket& ticket);

    /// Erases the tombstones of removed objects that a ticket with a lower number can no longer
    /// change.
    ///
    /// @param floor tickets up to and including this number are no longer accepted
    void prune_removed(ticket_number floor);

    /// @return tickets in order of their number that rebuild this directory, each with the objects
    ///         whose state it determines; a ticket with the highest number is always included
    std::vector<wire::Ticket> to_tickets() const;

    /// @return the workspace with this id; null if it does not exist or was removed
    const wire::Workspace* find_workspace(const workspace_id& id) const;

    /// Finds a workspace by its id, its name or one of its former names, in this order.
    std::optional<workspace_match> match_workspace(std::string_view word) const;

    /// @return the workspace id or name with the smallest edit distance to `word`; empty if there
    ///         are no workspaces
    std::string nearest_workspace(std::string_view word) const;

    const wire::Service* find_service(const service_id& id) const;
    const wire::RequestClass* find_class(const service_id& id, std::string_view name) const;

    /// @return the one-way delay between two regions; a default if no link connects them
    duration delay(const region_id& from, const region_id& to) const;

    /// @return the highest ticket number applied so far
    ticket_number highest() const { return highest_; }

    const table<wire::Workspace>& workspaces() const { return workspaces_; }
    const table<wire::Service>& services() const { return services_; }
    const table<wire::Region>& regions() const { return regions_; }
    const table<wire::Link>& links() const { return links_; }

private:
    table<wire::Workspace> workspaces_;
    table<wire::Service> services_;
    table<wire::Region> regions_;
    table<wire::Link> links_;
    ticket_number highest_;
};

}  // namespace baobabrack

#endif
