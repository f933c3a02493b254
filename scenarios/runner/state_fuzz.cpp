#include "runner/state_fuzz.hpp"

#include <google/protobuf/stubs/logging.h>

#include "runner/state_world.hpp"

namespace baobabrack::scenario {

std::vector<std::string> state_fuzz::mutations() const {
    return {"blank-entry", "early-acknowledgement", "false-unavailable", "new-sequence",
            "reverted-tickets"};
}

fuzz_report state_fuzz::run(const fuzz_options& options) {
    // Junk in the log is expected here.
    const google::protobuf::LogSilencer quiet;
    state_world world(options);
    fuzz_report report;
    while (report.steps < options.steps && report.violation.empty()) {
        ++report.steps;
        report.violation = world.step();
    }
    if (report.violation.empty()) {
        report.violation = world.finish();
    }
    report.coverage = world.coverage();
    return report;
}

}  // namespace baobabrack::scenario
