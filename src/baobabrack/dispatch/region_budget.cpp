#include "baobabrack/dispatch/region_budget.hpp"

namespace baobabrack {

void region_budget::turn_to(wall_time now) {
    const auto day = std::chrono::floor<std::chrono::days>(now);
    if (day > today_) {
        today_ = day;
        spent_.clear();
    }
}

bool region_budget::allows(const workspace_id& workspace, std::uint64_t bytes, std::uint64_t limit,
                           wall_time now) {
    return spent(workspace, now) + bytes <= limit;
}

void region_budget::spend(const workspace_id& workspace, std::uint64_t bytes, wall_time now) {
    turn_to(now);
    spent_[workspace] += bytes;
}

std::uint64_t region_budget::spent(const workspace_id& workspace, wall_time now) {
    turn_to(now);
    const auto found = spent_.find(workspace);
    return found == spent_.end() ? 0 : found->second;
}

}  // namespace baobabrack
