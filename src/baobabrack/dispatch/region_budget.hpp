#ifndef BAOBABRACK_DISPATCH_REGION_BUDGET_HPP
#define BAOBABRACK_DISPATCH_REGION_BUDGET_HPP

#include <cstdint>
#include <map>

#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Counts the bytes that each workspace sends across regions in a day.
class region_budget {
public:
    /// @return whether `bytes` more stay within `limit` today
    bool allows(const workspace_id& workspace, std::uint64_t bytes, std::uint64_t limit,
                wall_time now);

    /// Counts bytes that went across.
    void spend(const workspace_id& workspace, std::uint64_t bytes, wall_time now);

    /// @return bytes of today
    std::uint64_t spent(const workspace_id& workspace, wall_time now);

private:
    void turn_to(wall_time now);

    std::chrono::sys_days today_{};
    std::map<workspace_id, std::uint64_t> spent_;
};

}  // namespace baobabrack

#endif
