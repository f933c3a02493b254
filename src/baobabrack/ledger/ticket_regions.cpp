#include "baobabrack/config.pb.h"
#include "baobabrack/ledger/ticket_objects.hpp"

namespace baobabrack {

namespace {

constexpr std::uint64_t max_delay_us = 10'000'000;

bool places(const wire::Workspace& workspace, const std::string& region) {
    const auto& guarantees = workspace.guarantees();
    return std::any_of(guarantees.begin(), guarantees.end(),
                       [&](const wire::Guarantee& one) { return one.region() == region; });
}

bool ends_at(const wire::Link& link, const std::string& region) {
    return link.from_region() == region || link.to_region() == region;
}

bool joins_same(const wire::Link& left, const wire::Link& right) {
    return ends_at(left, right.from_region()) && ends_at(left, right.to_region());
}

void check_region_removal(const std::string& path, const std::string& region,
                          const directory& after, ticket_errors& errors) {
    const auto user = find_referrer(after.workspaces(), [&](const wire::Workspace& workspace) {
        return places(workspace, region);
    });
    if (!user.empty()) {
        errors.add(path + ".removed", "workspace \"" + user + "\" has a guarantee in the region",
                   "move or drop that guarantee in this ticket");
    }
    const auto link =
        find_referrer(after.links(), [&](const wire::Link& one) { return ends_at(one, region); });
    if (!link.empty()) {
        errors.add(path + ".removed", "link \"" + link + "\" still ends at the region",
                   "remove the link in this ticket");
    }
}

void check_data_centres(const std::string& path, const wire::Region& region, const directory& after,
                        ticket_errors& errors) {
    if (region.data_centres().empty()) {
        errors.add(path + ".data_centres", "is empty; expected at least one data centre",
                   "list the region's data centres");
    }
    std::set<std::string> seen;
    for (int i = 0; i < region.data_centres_size(); ++i) {
        const auto& data_centre = region.data_centres(i);
        const auto one = element_path(path + ".data_centres", i);
        errors.check_id(one, data_centre);
        if (!seen.insert(data_centre).second) {
            errors.add(one, "\"" + data_centre + "\" stands twice", "list it once");
        }
        const auto other = find_referrer(after.regions(), [&](const wire::Region& another) {
            const auto& known = another.data_centres();
            return another.id() != region.id() &&
                   std::find(known.begin(), known.end(), data_centre) != known.end();
        });
        if (!other.empty()) {
            errors.add(one, "\"" + data_centre + "\" also stands in region \"" + other + "\"",
                       "list each data centre in one region");
        }
    }
}

void check_ends(const std::string& path, const wire::Link& link, const directory& after,
                ticket_errors& errors) {
    if (!is_live(after.regions(), link.from_region())) {
        errors.add(path + ".from_region", "\"" + link.from_region() + "\" is no known region",
                   "name a region that is in force or add it to this ticket");
    }
    if (!is_live(after.regions(), link.to_region())) {
        errors.add(path + ".to_region", "\"" + link.to_region() + "\" is no known region",
                   "name a region that is in force or add it to this ticket");
    }
    if (link.from_region() == link.to_region()) {
        errors.add(path + ".to_region", "is the region that the link begins at",
                   "name two different regions");
    }
}

}  // namespace

void check_regions(const wire::Ticket& ticket, const directory& after, ticket_errors& errors) {
    check_ids("regions", ticket.regions(), errors);
    for (int i = 0; i < ticket.regions_size(); ++i) {
        const auto& region = ticket.regions(i);
        const auto path = element_path("regions", i);
        if (!is_live(after.regions(), region.id())) {
            check_region_removal(path, region.id(), after, errors);
        }
        if (!region.removed()) {
            check_data_centres(path, region, after, errors);
        }
    }
}

void check_links(const wire::Ticket& ticket, const directory& after, ticket_errors& errors) {
    check_ids("links", ticket.links(), errors);
    for (int i = 0; i < ticket.links_size(); ++i) {
        const auto& link = ticket.links(i);
        const auto path = element_path("links", i);
        if (link.removed()) {
            continue;
        }
        check_ends(path, link, after, errors);
        errors.check_range(path + ".delay_us", link.delay_us(), 1, max_delay_us, "us");
        errors.check_amount(path + ".cost_per_gib", link.cost_per_gib(), "per GiB");
        const auto other = find_referrer(after.links(), [&](const wire::Link& one) {
            return one.id() != link.id() && joins_same(one, link);
        });
        if (!other.empty()) {
            errors.add(path + ".id", "link \"" + other + "\" joins the same two regions",
                       "keep one link for each pair of regions");
        }
    }
}

}  // namespace baobabrack
