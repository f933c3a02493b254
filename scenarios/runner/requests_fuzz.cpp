#include "runner/requests_fuzz.hpp"

#include "runner/requests_world.hpp"

namespace baobabrack::scenario {

namespace {

// Settling checks, in the middle of a run, that nothing is held for good.
constexpr std::uint64_t steps_between_settling = 20'000;

}  // namespace

std::vector<std::string> requests_fuzz::mutations() const {
    return {"skip_claims",   "resend_unknown", "presume_not_run",
            "ignore_others", "ignore_leaving", "trust_answers"};
}

fuzz_report requests_fuzz::run(const fuzz_options& options) {
    fuzz_report report;
    requests_world world(options.seed, options.mutation);
    while (report.steps < options.steps && world.violation().empty()) {
        world.step();
        ++report.steps;
        if (report.steps % steps_between_settling == 0 || report.steps == options.steps) {
            world.settle();
        }
    }
    report.violation = world.violation();
    report.coverage = world.coverage();
    return report;
}

}  // namespace baobabrack::scenario
