#include "baobabrack/ledger/ticket_diff.hpp"

#include <google/protobuf/util/message_differencer.h>

#include <sstream>

#include "baobabrack/config.pb.h"
#include "baobabrack/world/directory.hpp"

namespace baobabrack {

namespace {

using google::protobuf::util::MessageDifferencer;

template <typename Object>
std::vector<std::string> compare_fields(const Object& before, const Object& after) {
    std::string report;
    MessageDifferencer differencer;
    differencer.ReportDifferencesToString(&report);
    differencer.Compare(before, after);
    std::vector<std::string> lines;
    std::istringstream text(report);
    for (std::string line; std::getline(text, line);) {
        lines.push_back(line);
    }
    return lines;
}

template <typename Object>
object_change judge(const Object& before, const Object& after) {
    if (after.removed()) {
        return before.removed() ? object_change::unchanged : object_change::removed;
    }
    if (before.removed()) {
        return object_change::added;
    }
    return MessageDifferencer::Equals(before, after) ? object_change::unchanged
                                                     : object_change::changed;
}

template <typename Object, typename Objects>
void diff_objects(const std::string& kind, const Objects& objects,
                  const directory::table<Object>& present, ticket_number number,
                  std::vector<ticket_difference>& differences) {
    for (const auto& object : objects) {
        ticket_difference difference{.kind = kind, .id = object.id()};
        const auto found = present.find(object.id());
        if (found == present.end()) {
            difference.change = object.removed() ? object_change::unchanged : object_change::added;
            differences.push_back(std::move(difference));
            continue;
        }
        difference.present = found->second.ticket;
        difference.change = found->second.ticket > number ? object_change::superseded
                                                          : judge(found->second.object, object);
        if (difference.change == object_change::changed) {
            difference.fields = compare_fields(found->second.object, object);
        }
        differences.push_back(std::move(difference));
    }
}

}  // namespace

std::string_view to_string(object_change change) {
    switch (change) {
        case object_change::added:
            return "added";
        case object_change::changed:
            return "changed";
        case object_change::removed:
            return "removed";
        case object_change::unchanged:
            return "unchanged";
        case object_change::superseded:
            return "superseded";
    }
    return "unknown";
}

std::vector<ticket_difference> diff_ticket(const wire::Ticket& ticket, const directory& in_force) {
    std::vector<ticket_difference> differences;
    const ticket_number number{ticket.number()};
    diff_objects("service", ticket.services(), in_force.services(), number, differences);
    diff_objects("workspace", ticket.workspaces(), in_force.workspaces(), number, differences);
    diff_objects("region", ticket.regions(), in_force.regions(), number, differences);
    diff_objects("link", ticket.links(), in_force.links(), number, differences);
    return differences;
}

}  // namespace baobabrack
