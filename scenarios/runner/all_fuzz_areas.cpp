#include <memory>

#include "runner/fuzz_area.hpp"
#include "runner/gangs_fuzz.hpp"
#include "runner/requests_fuzz.hpp"
#include "runner/state_explorer.hpp"
#include "runner/state_fuzz.hpp"

namespace baobabrack::scenario {

std::vector<std::unique_ptr<fuzz_area>> all_fuzz_areas() {
    std::vector<std::unique_ptr<fuzz_area>> areas;
    areas.push_back(std::make_unique<gangs_fuzz>());
    areas.push_back(std::make_unique<requests_fuzz>());
    areas.push_back(std::make_unique<state_explorer>());
    areas.push_back(std::make_unique<state_fuzz>());
    return areas;
}

}  // namespace baobabrack::scenario
