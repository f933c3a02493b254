#include "runner/fuzz_command.hpp"

#include <algorithm>
#include <iostream>

namespace baobabrack::scenario {

namespace {

constexpr int exit_held = 0;
constexpr int exit_broken = 1;
constexpr int exit_usage = 2;

void print(const fuzz_area& area, const fuzz_options& options, const fuzz_report& report) {
    std::cout << area.name() << " seed " << options.seed << " steps " << report.steps;
    if (!options.mutation.empty()) {
        std::cout << " mutation " << options.mutation;
    }
    for (const auto& line : report.coverage) {
        std::cout << ", " << line;
    }
    std::cout << ": " << (report.violation.empty() ? "held" : report.violation) << '\n';
}

int run_seeds(fuzz_area& area, const fuzz_command& command) {
    for (std::uint64_t i = 0; i < command.seeds; ++i) {
        auto options = command.options;
        options.seed += i;
        const auto report = area.run(options);
        print(area, options, report);
        if (!report.violation.empty()) {
            return exit_broken;
        }
    }
    return exit_held;
}

int run_mutations(fuzz_area& area, const fuzz_command& command) {
    int code = exit_held;
    for (const auto& mutation : area.mutations()) {
        auto options = command.options;
        options.mutation = mutation;
        const auto report = area.run(options);
        print(area, options, report);
        if (report.violation.empty()) {
            std::cout << "mutation " << mutation << " went uncaught\n";
            code = exit_broken;
        }
    }
    return code;
}

}  // namespace

int run_fuzz(const fuzz_command& command) {
    auto areas = all_fuzz_areas();
    const auto found = std::find_if(areas.begin(), areas.end(),
                                    [&](const auto& area) { return area->name() == command.area; });
    if (found == areas.end()) {
        std::cerr << "no fuzz area is named \"" << command.area << "\"; known are:";
        for (const auto& area : areas) {
            std::cerr << ' ' << area->name();
        }
        std::cerr << '\n';
        return exit_usage;
    }
    return command.prove_checks ? run_mutations(**found, command) : run_seeds(**found, command);
}

}  // namespace baobabrack::scenario
