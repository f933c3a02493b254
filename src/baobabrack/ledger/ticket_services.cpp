#include "baobabrack/config.pb.h"
#include "baobabrack/ledger/ticket_objects.hpp"

namespace baobabrack {

namespace {

constexpr std::uint64_t max_priority = 1'000;
constexpr std::uint64_t max_queue = 1'000'000;
constexpr std::uint64_t max_deadline_ms = 3'600'000;
constexpr std::uint64_t max_slots = 10'000;
constexpr std::uint64_t max_connections = 65'535;

void check_class(const std::string& path, const wire::RequestClass& one, ticket_errors& errors) {
    errors.check_id(path + ".name", one.name());
    errors.check_range(path + ".priority", one.priority(), 0, max_priority, "");
    errors.check_range(path + ".queue_limit", one.queue_limit(), 1, max_queue, "requests");
    errors.check_range(path + ".default_deadline_ms", one.default_deadline_ms(), 1, max_deadline_ms,
                       "ms");
}

void check_classes(const std::string& path, const wire::Service& service, ticket_errors& errors) {
    std::set<std::string> names;
    for (int i = 0; i < service.classes_size(); ++i) {
        const auto one = element_path(path + ".classes", i);
        check_class(one, service.classes(i), errors);
        if (!names.insert(service.classes(i).name()).second) {
            errors.add(one + ".name",
                       "\"" + service.classes(i).name() + "\" names two classes of this service",
                       "give each class its own name");
        }
    }
    if (service.classes().empty()) {
        return;
    }
    errors.check_range(path + ".slots_per_target", service.slots_per_target(), 1, max_slots,
                       "requests");
    errors.check_range(path + ".connections_per_target", service.connections_per_target(), 1,
                       max_connections, "connections");
}

void check_removal(const std::string& path, const wire::Service& service, const directory& after,
                   ticket_errors& errors) {
    const auto user = find_referrer(after.workspaces(), [&](const wire::Workspace& workspace) {
        return workspace.service() == service.id();
    });
    if (!user.empty()) {
        errors.add(path + ".removed", "workspace \"" + user + "\" still uses the service",
                   "remove the workspace or move it to another service in this ticket");
    }
}

}  // namespace

void check_services(const wire::Ticket& ticket, const directory& after, ticket_errors& errors) {
    check_ids("services", ticket.services(), errors);
    for (int i = 0; i < ticket.services_size(); ++i) {
        const auto& service = ticket.services(i);
        const auto path = element_path("services", i);
        if (!is_live(after.services(), service.id())) {
            check_removal(path, service, after, errors);
        }
        if (service.removed()) {
            continue;
        }
        check_classes(path, service, errors);
        errors.check_amount(path + ".weights.completion", service.weights().completion(), "weight");
        errors.check_amount(path + ".weights.fragmentation", service.weights().fragmentation(),
                            "weight");
    }
}

}  // namespace baobabrack
