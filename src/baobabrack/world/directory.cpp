#include "baobabrack/world/directory.hpp"

#include <algorithm>
#include <limits>
#include <utility>
#include <vector>

namespace baobabrack {

namespace {

using namespace std::chrono_literals;

constexpr duration same_region_delay = 500us;
constexpr duration unlinked_region_delay = 8ms;

template <typename Object, typename Objects>
void apply_objects(directory::table<Object>& table, const Objects& objects, ticket_number number) {
    for (const auto& object : objects) {
        auto& kept = table[object.id()];
        if (kept.ticket < number) {
            kept = {object, number};
        }
    }
}

template <typename Object>
void erase_removed(directory::table<Object>& table, ticket_number floor) {
    std::erase_if(table, [&](const auto& item) {
        return item.second.object.removed() && item.second.ticket <= floor;
    });
}

using tickets_by_number = std::map<ticket_number, wire::Ticket>;

/// Adds each object to the ticket that determined its state.
template <typename Object, typename Add>
void add_objects(const directory::table<Object>& table, tickets_by_number& tickets, Add add) {
    for (const auto& [id, kept] : table) {
        *add(tickets[kept.ticket]) = kept.object;
    }
}

template <typename Object>
const Object* find_live(const directory::table<Object>& table, const std::string& id) {
    const auto found = table.find(id);
    if (found == table.end() || found->second.object.removed()) {
        return nullptr;
    }
    return &found->second.object;
}

bool has_former_name(const wire::Workspace& workspace, std::string_view word) {
    const auto& former = workspace.former_names();
    return std::any_of(former.begin(), former.end(),
                       [&](const std::string& name) { return name == word; });
}

std::size_t edit_distance(std::string_view left, std::string_view right) {
    std::vector<std::size_t> row(right.size() + 1);
    for (std::size_t column = 0; column < row.size(); ++column) {
        row[column] = column;
    }
    for (std::size_t line = 0; line < left.size(); ++line) {
        auto diagonal = row[0];
        row[0] = line + 1;
        for (std::size_t column = 0; column < right.size(); ++column) {
            const auto substitute = diagonal + (left[line] == right[column] ? 0 : 1);
            diagonal = row[column + 1];
            row[column + 1] = std::min({substitute, row[column] + 1, diagonal + 1});
        }
    }
    return row.back();
}

bool connects(const wire::Link& link, const std::string& from, const std::string& to) {
    return (link.from_region() == from && link.to_region() == to) ||
           (link.from_region() == to && link.to_region() == from);
}

}  // namespace

void directory::apply(const wire::Ticket& ticket) {
    const ticket_number number{ticket.number()};
    apply_objects(services_, ticket.services(), number);
    apply_objects(workspaces_, ticket.workspaces(), number);
    apply_objects(regions_, ticket.regions(), number);
    apply_objects(links_, ticket.links(), number);
    highest_ = std::max(highest_, number);
}

void directory::prune_removed(ticket_number floor) {
    erase_removed(services_, floor);
    erase_removed(workspaces_, floor);
    erase_removed(regions_, floor);
    erase_removed(links_, floor);
}

std::vector<wire::Ticket> directory::to_tickets() const {
    tickets_by_number numbered;
    if (highest_ > ticket_number{0}) {
        numbered[highest_];
    }
    add_objects(services_, numbered, [](wire::Ticket& ticket) { return ticket.add_services(); });
    add_objects(workspaces_, numbered,
                [](wire::Ticket& ticket) { return ticket.add_workspaces(); });
    add_objects(regions_, numbered, [](wire::Ticket& ticket) { return ticket.add_regions(); });
    add_objects(links_, numbered, [](wire::Ticket& ticket) { return ticket.add_links(); });
    std::vector<wire::Ticket> tickets;
    tickets.reserve(numbered.size());
    for (auto& [number, ticket] : numbered) {
        ticket.set_number(number.get());
        tickets.push_back(std::move(ticket));
    }
    return tickets;
}

const wire::Workspace* directory::find_workspace(const workspace_id& id) const {
    return find_live(workspaces_, id.get());
}

std::optional<workspace_match> directory::match_workspace(std::string_view word) const {
    if (const auto* workspace = find_workspace(workspace_id{std::string(word)})) {
        return workspace_match{workspace, name_match::id};
    }
    std::optional<workspace_match> former;
    for (const auto& [id, kept] : workspaces_) {
        if (kept.object.removed()) {
            continue;
        }
        if (kept.object.name() == word) {
            return workspace_match{&kept.object, name_match::name};
        }
        if (!former && has_former_name(kept.object, word)) {
            former = workspace_match{&kept.object, name_match::former_name};
        }
    }
    return former;
}

std::string directory::nearest_workspace(std::string_view word) const {
    std::string nearest;
    auto least = std::numeric_limits<std::size_t>::max();
    const auto consider = [&](const std::string& candidate) {
        const auto distance = edit_distance(word, candidate);
        if (distance < least) {
            least = distance;
            nearest = candidate;
        }
    };
    for (const auto& [id, kept] : workspaces_) {
        if (kept.object.removed()) {
            continue;
        }
        consider(id);
        consider(kept.object.name());
    }
    return nearest;
}

const wire::Service* directory::find_service(const service_id& id) const {
    return find_live(services_, id.get());
}

const wire::RequestClass* directory::find_class(const service_id& id, std::string_view name) const {
    const auto* service = find_service(id);
    if (service == nullptr) {
        return nullptr;
    }
    const auto& classes = service->classes();
    const auto found = std::find_if(classes.begin(), classes.end(), [&](const auto& request_class) {
        return request_class.name() == name;
    });
    return found == classes.end() ? nullptr : &*found;
}

duration directory::delay(const region_id& from, const region_id& to) const {
    if (from == to) {
        return same_region_delay;
    }
    for (const auto& [id, kept] : links_) {
        if (!kept.object.removed() && connects(kept.object, from.get(), to.get())) {
            return duration{kept.object.delay_us()};
        }
    }
    return unlinked_region_delay;
}

}  // namespace baobabrack
