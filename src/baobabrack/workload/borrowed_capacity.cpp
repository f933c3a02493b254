#include "baobabrack/workload/borrowed_capacity.hpp"

#include <algorithm>
#include <numeric>

namespace baobabrack::workload {

std::vector<run_unit> find_borrowing_units(const std::vector<run_unit>& units,
                                           const guarantee_uses& uses) {
    std::vector<std::size_t> order(units.size());
    std::iota(order.begin(), order.end(), std::size_t{0});
    std::stable_sort(order.begin(), order.end(), [&](std::size_t left, std::size_t right) {
        return units[left].lost_work > units[right].lost_work;
    });
    std::map<workspace_id, std::uint64_t> kept_accelerators;
    std::vector<bool> kept(units.size());
    for (const auto index : order) {
        const auto& unit = units[index];
        const auto found = uses.find(unit.workspace);
        const bool is_within = found != uses.end() && found->second.is_within();
        const auto guaranteed = found != uses.end() ? found->second.guaranteed : 0;
        auto& in_use = kept_accelerators[unit.workspace];
        if (is_within || in_use + unit.accelerators <= guaranteed) {
            in_use += unit.accelerators;
            kept[index] = true;
        }
    }
    std::vector<run_unit> borrowing;
    for (std::size_t index = 0; index < units.size(); ++index) {
        if (!kept[index]) {
            borrowing.push_back(units[index]);
        }
    }
    return borrowing;
}

}  // namespace baobabrack::workload
