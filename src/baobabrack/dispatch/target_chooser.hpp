#ifndef BAOBABRACK_DISPATCH_TARGET_CHOOSER_HPP
#define BAOBABRACK_DISPATCH_TARGET_CHOOSER_HPP

#include <cstdint>
#include <vector>

#include "baobabrack/dispatch/region_budget.hpp"
#include "baobabrack/dispatch/target_book.hpp"
#include "baobabrack/world/directory.hpp"
#include "baobabrack/world/fleet.hpp"

namespace baobabrack {

/// What a target is chosen for.
struct routed_request {
    service_id service;
    workspace_id workspace;
    bool idempotent = false;
    /// Bytes of the request, and the most that the workspace may send across regions in a day.
    std::uint64_t bytes = 0;
    std::uint64_t region_byte_limit = 0;
    /// Targets that failed this request.
    const std::vector<target_id>* tried = nullptr;
    duration left{};
    /// How long an answer mostly takes.
    duration expected{};
};

/// Chooses the target for a request: in the entry's data centre, then in its region, and in
/// another region only where waiting here would miss the deadline.
class target_chooser {
public:
    target_chooser(runtime& loop, const directory& tickets, target_book& book,
                   region_budget& budget, location own);

    struct choice {
        /// Null if no target can take the request now.
        target_load* target = nullptr;
        bool across = false;
        /// Whether only the workspace's byte budget stood in the way.
        bool over_budget = false;
    };

    choice choose(const routed_request& request);

private:
    target_load* best_in(const region_id& region, const routed_request& request);
    bool usable(const target_load& target, const routed_request& request);
    double cost(const target_load& target, std::uint32_t free) const;
    bool any_open_here(const service_id& service);
    choice choose_across(const routed_request& request);

    runtime& loop_;
    const directory& tickets_;
    target_book& book_;
    region_budget& budget_;
    location own_;
};

}  // namespace baobabrack

#endif
