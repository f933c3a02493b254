#include "runner/gangs_fuzz.hpp"

#include "runner/gangs_world.hpp"

namespace baobabrack::scenario {

std::vector<std::string> gangs_fuzz::mutations() const {
    return {"early_release", "false_all_past", "false_finish",
            "hidden_loss",   "ignored_leases", "stop_not_sent"};
}

fuzz_report gangs_fuzz::run(const fuzz_options& options) {
    gangs_world world(options.seed, options.mutation);
    fuzz_report report;
    while (report.steps < options.steps && world.violation().empty()) {
        world.step();
        ++report.steps;
    }
    if (world.violation().empty()) {
        world.settle();
    }
    report.violation = world.violation();
    report.coverage = world.coverage();
    return report;
}

}  // namespace baobabrack::scenario
