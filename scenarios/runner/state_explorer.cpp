#include "runner/state_explorer.hpp"

#include <map>

#include "runner/state_race.hpp"

namespace baobabrack::scenario {

namespace {

constexpr std::size_t most_faults = 8;

race_mutation find_mutation(const std::string& name) {
    static const std::map<std::string, race_mutation> known{
        {"blind-repeat", race_mutation::blind_repeat},
        {"lost-means-unavailable", race_mutation::lost_means_unavailable},
        {"unheeded-refusal", race_mutation::unheeded_refusal},
    };
    const auto found = known.find(name);
    return found == known.end() ? race_mutation::none : found->second;
}

/// What came of the runs of one protocol.
struct exploration {
    std::uint64_t runs = 0;
    /// Every run with up to this many faults was made; none before the first bound is through.
    std::string whole_up_to = "none";
    std::string violation;
};

bool explore_bound(const state_protocol& protocol, std::size_t faults, std::uint64_t most_runs,
                   race_mutation mutation, exploration& explored) {
    choice_walk walk(faults);
    do {
        if (explored.runs == most_runs) {
            return false;
        }
        ++explored.runs;
        walk.begin_run();
        explored.violation = state_race(protocol, walk, mutation).run();
        if (!explored.violation.empty()) {
            return false;
        }
    } while (walk.advance());
    return true;
}

exploration explore(const state_protocol& protocol, std::uint64_t most_runs,
                    race_mutation mutation) {
    exploration explored;
    for (std::size_t faults = 0; faults <= most_faults; ++faults) {
        if (!explore_bound(protocol, faults, most_runs, mutation, explored)) {
            break;
        }
        explored.whole_up_to = std::to_string(faults);
    }
    return explored;
}

}  // namespace

std::vector<std::string> state_explorer::mutations() const {
    return {"blind-repeat", "lost-means-unavailable", "unheeded-refusal"};
}

fuzz_report state_explorer::run(const fuzz_options& options) {
    fuzz_report report;
    for (const auto& protocol : all_state_protocols()) {
        const auto explored = explore(*protocol, options.steps, find_mutation(options.mutation));
        const std::string name(protocol->name());
        report.steps += explored.runs;
        report.coverage.push_back(name + " runs " + std::to_string(explored.runs));
        report.coverage.push_back(name + " whole up to faults " + explored.whole_up_to);
        if (!explored.violation.empty()) {
            report.violation = name + ": " + explored.violation;
            return report;
        }
    }
    return report;
}

}  // namespace baobabrack::scenario
