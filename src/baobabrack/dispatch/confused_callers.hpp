#ifndef BAOBABRACK_DISPATCH_CONFUSED_CALLERS_HPP
#define BAOBABRACK_DISPATCH_CONFUSED_CALLERS_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Callers in one region that use one unknown or former name of a workspace.
struct confused_caller {
    std::string word;
    region_id region;
    /// The workspace that had the name formerly; empty for an unknown name.
    workspace_id workspace;
    /// For an unknown name the nearest known one.
    std::string nearest;
    wall_time since{};
    wall_time last{};
    std::uint64_t requests = 0;
};

/// Reports who calls by which unknown or former name, from which region and since when.
class confused_callers {
public:
    /// Most names remembered; the one unheard of for longest gives way to a new one.
    static constexpr std::size_t most_rows = 1000;

    /// @param row the word and region with what is known; times and count are filled in here
    void note(confused_caller row, wall_time now);

    /// @return every row, by word and region
    std::vector<confused_caller> report() const;

private:
    using row_key = std::pair<std::string, region_id>;

    void make_room();

    std::map<row_key, confused_caller> rows_;
};

}  // namespace baobabrack

#endif
