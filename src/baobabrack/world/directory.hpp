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

/// How a caller's word for a workspace was understood.
enum class name_match { id, name, former_name };

struct workspace_match {
    const wire::Workspace* workspace = nullptr;
    name_match how = name_match::id;
};

/// What the tickets in force say: services, workspaces, regions and links.
///
/// Each object is as the ticket with the highest number among those that touched it has it, in
/// whatever order the tickets came.
class directory {
public:
    /// An object with the number of the ticket that gave it its state.
    template <typename Object>
    struct versioned {
        Object object;
        ticket_number ticket;
    };
    template <typename Object>
    using table = std::map<std::string, versioned<Object>>;

    /// Puts a valid ticket's objects in force.
    void apply(const wire::Ticket& ticket);

    /// Forgets removed objects that no later ticket can touch with a lower number.
    ///
    /// @param floor no ticket up to this number is accepted any more
    void prune_removed(ticket_number floor);

    /// @return tickets that rebuild this directory, by number, each with the objects it still
    ///         gives their state; the highest number is among them
    std::vector<wire::Ticket> to_tickets() const;

    /// @return the workspace by id; null if there is none or it was removed
    const wire::Workspace* find_workspace(const workspace_id& id) const;

    /// Finds a workspace by id, by name, or by a name it had formerly, in this order.
    std::optional<workspace_match> match_workspace(std::string_view word) const;

    /// @return the known id or name with the least edits to `word`; empty if there is none
    std::string nearest_workspace(std::string_view word) const;

    const wire::Service* find_service(const service_id& id) const;
    const wire::RequestClass* find_class(const service_id& id, std::string_view name) const;

    /// @return one-way delay between two regions; the default between unlinked ones
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
