#include "baobabrack/config.pb.h"
#include "baobabrack/ledger/ticket_objects.hpp"

namespace baobabrack {

namespace {

constexpr std::uint64_t max_members = 4'096;
constexpr std::uint64_t max_guarantees = 10'000;
constexpr std::uint64_t max_weight = 1'000;
constexpr std::uint64_t max_notice_ms = 86'400'000;

bool is_known_adjacency(wire::Adjacency adjacency) {
    return wire::Adjacency_IsValid(adjacency) && adjacency != wire::ADJACENCY_UNSPECIFIED;
}

bool is_nothing(const wire::Resources& amount) {
    return amount.cpu_millicores() == 0 && amount.memory_mib() == 0 && amount.accelerators() == 0;
}

void check_shape(const std::string& path, const wire::Shape& shape, ticket_errors& errors) {
    errors.check_range(path + ".members", shape.members(), 1, max_members, "");
    if (is_nothing(shape.per_member())) {
        errors.add(path + ".per_member", "is nothing; expected some of at least one resource",
                   "set cpu_millicores (1/1000 core), memory_mib (MiB) or accelerators (count)");
    }
    if (!is_known_adjacency(shape.adjacency())) {
        errors.add(path + ".adjacency", "is not set to a known level",
                   "set ADJACENCY_WORKER, ADJACENCY_RACK, ADJACENCY_DATA_CENTRE or "
                   "ADJACENCY_REGION");
    }
}

bool has_data_centre(const wire::Region& region, const std::string& data_centre) {
    const auto& known = region.data_centres();
    return std::find(known.begin(), known.end(), data_centre) != known.end();
}

void check_place(const std::string& path, const wire::Guarantee& guarantee, const directory& after,
                 ticket_errors& errors) {
    if (!guarantee.region().empty() && !is_live(after.regions(), guarantee.region())) {
        errors.add(path + ".region", "\"" + guarantee.region() + "\" is no known region",
                   "name a region that is in force or add it to this ticket");
    }
    if (guarantee.data_centre().empty()) {
        return;
    }
    const auto holder = find_referrer(after.regions(), [&](const wire::Region& region) {
        return (guarantee.region().empty() || region.id() == guarantee.region()) &&
               has_data_centre(region, guarantee.data_centre());
    });
    if (holder.empty()) {
        errors.add(
            path + ".data_centre",
            "\"" + guarantee.data_centre() + "\" is no known data centre" +
                (guarantee.region().empty() ? "" : " of region \"" + guarantee.region() + "\""),
            "name a data centre of a region in force, or add it to its region");
    }
}

void check_guarantees(const std::string& path, const wire::Workspace& workspace,
                      const directory& after, ticket_errors& errors) {
    std::uint64_t promised = 0;
    for (int i = 0; i < workspace.guarantees_size(); ++i) {
        const auto& guarantee = workspace.guarantees(i);
        const auto one = element_path(path + ".guarantees", i);
        const auto& shape = guarantee.shape();
        check_shape(one + ".shape", shape, errors);
        errors.check_range(one + ".count", guarantee.count(), 1, max_guarantees, "gangs");
        errors.check_range(one + ".notice_ms", guarantee.notice_ms(), 0, max_notice_ms, "ms");
        check_place(one, guarantee, after, errors);
        promised += std::uint64_t{guarantee.count()} *
                    std::min<std::uint64_t>(shape.members(), max_members) *
                    shape.per_member().accelerators();
    }
    if (workspace.accelerator_quota() > 0 && promised > workspace.accelerator_quota()) {
        errors.add(path + ".accelerator_quota",
                   "is " + std::to_string(workspace.accelerator_quota()) +
                       " accelerators, fewer than the " + std::to_string(promised) +
                       " that the guarantees promise",
                   "raise the quota to at least " + std::to_string(promised) +
                       " accelerators, set it to 0 for no limit, or promise less");
    }
}

/// Looks for another live workspace that a caller's word `name` would also mean.
std::string find_namesake(const wire::Workspace& workspace, const directory& after) {
    return find_referrer(after.workspaces(), [&](const wire::Workspace& other) {
        return other.id() != workspace.id() &&
               (other.name() == workspace.name() || other.id() == workspace.name() ||
                other.name() == workspace.id());
    });
}

void check_names(const std::string& path, const wire::Workspace& workspace, const directory& after,
                 ticket_errors& errors) {
    errors.check_name(path + ".name", workspace.name());
    if (const auto other = find_namesake(workspace, after); !other.empty()) {
        errors.add(path + ".name",
                   "\"" + workspace.name() + "\" would mean workspace \"" + other + "\" too",
                   "choose a name that is no other workspace's id or name");
    }
    std::set<std::string> former;
    for (int i = 0; i < workspace.former_names_size(); ++i) {
        const auto one = element_path(path + ".former_names", i);
        const auto& name = workspace.former_names(i);
        errors.check_name(one, name);
        if (name == workspace.name() || !former.insert(name).second) {
            errors.add(one, "\"" + name + "\" stands twice or is the present name",
                       "list each former name once, without the present one");
        }
    }
}

void check_live(const std::string& path, const wire::Workspace& workspace, const directory& after,
                ticket_errors& errors) {
    check_names(path, workspace, after, errors);
    if (!is_live(after.services(), workspace.service())) {
        errors.add(path + ".service", "\"" + workspace.service() + "\" is no known service",
                   "name a service that is in force or add it to this ticket");
    }
    errors.check_range(path + ".request_weight", workspace.request_weight(), 0, max_weight, "");
    check_guarantees(path, workspace, after, errors);
}

}  // namespace

void check_workspaces(const wire::Ticket& ticket, const directory& after, ticket_errors& errors) {
    check_ids("workspaces", ticket.workspaces(), errors);
    for (int i = 0; i < ticket.workspaces_size(); ++i) {
        const auto& workspace = ticket.workspaces(i);
        if (!workspace.removed()) {
            check_live(element_path("workspaces", i), workspace, after, errors);
        }
    }
}

}  // namespace baobabrack
