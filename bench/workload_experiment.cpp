#include "workload_experiment.hpp"

#include <CLI/CLI.hpp>
#include <algorithm>
#include <iostream>
#include <nlohmann/json.hpp>

#include "workload_simulation.hpp"

namespace baobabrack::bench {

namespace {

/// Means over all seeds.
struct totals {
    double count = 0;
    double worth = 0;
    double day = 0;
    double windows = 0;
    double kind = 0;
    double waste = 0;
    double late = 0;
    double lost = 0;
    double preempted = 0;
    double completion_s = 0;
    double wasted = 0;
    double stops = 0;
    double wrong_stops = 0;
    double decision_s = 0;
    double longest_ms = 0;
    double worst = 1;
    std::uint64_t overfull = 0;
    std::vector<double> by_kind;

    void add(const workload_measures& one, const workload_result& result) {
        count += 1;
        worth += one.worth;
        day += one.whole_day;
        windows += one.worst_windows;
        kind += one.worst_kind;
        waste += one.waste_price;
        late += one.late;
        lost += one.lost;
        preempted += static_cast<double>(result.preempted);
        completion_s += one.completion_s;
        wasted += result.wasted;
        stops += static_cast<double>(result.fault_stops);
        wrong_stops += static_cast<double>(result.wrong_stops);
        decision_s += result.decision_s;
        longest_ms = std::max(longest_ms, result.longest_decision_ms);
        worst = std::min(worst, one.worth);
        overfull += result.overfull;
        by_kind.resize(one.by_kind.size());
        for (std::size_t at = 0; at < by_kind.size(); ++at) {
            by_kind[at] += one.by_kind[at];
        }
    }

    nlohmann::json to_json(const workload_deployment& deployment) const {
        nlohmann::json kinds;
        for (std::size_t at = 0; at < by_kind.size(); ++at) {
            kinds[deployment.kinds[at].name] = by_kind[at] / count;
        }
        return {{"worth", worth / count},
                {"worst_worth", worst},
                {"whole_day", day / count},
                {"worst_windows", windows / count},
                {"worst_kind", kind / count},
                {"by_kind", kinds},
                {"waste_price", waste / count},
                {"late", late / count},
                {"lost", lost / count},
                {"preempted", preempted / count},
                {"completion_s", completion_s / count},
                {"wasted_core_s", wasted / count},
                {"fault_stops", stops / count},
                {"wrong_stops", wrong_stops / count},
                {"overfull", overfull},
                {"decision_s", decision_s / count},
                {"longest_decision_ms", longest_ms}};
    }
};

}  // namespace

CLI::App* workload_experiment::add_to(CLI::App& app) {
    auto* command = app.add_subcommand("workload", "worth that scheduling decisions earn");
    std::string names;
    for (const auto& name : workload_deployment_names()) {
        names += names.empty() ? name : ", " + name;
    }
    command->add_option("--deployment", deployment_, names);
    command->add_option("--seed", seed_, "the first seed");
    command->add_option("--seeds", seeds_, "how many seeds");
    command->add_option("--hosts", hosts_,
                        "hosts in place of the deployment's, with as much load each");
    command->add_option("--load", day_.load, "times the usual rate of jobs");
    command->add_option("--burst", day_.burst, "times the rate during a burst");
    command->add_option("--troubles", troubles_,
                        "all, none, or one of slow, crashed, failing, standing_still");
    command->add_option("--declared", declared_,
                        "declared run times: by_kind, right, production, wrong, mixed, drifting");
    command->add_flag("--verbose", verbose_, "one line for each seed");
    return command;
}

int workload_experiment::run() {
    auto deployment = find_workload_deployment(deployment_);
    if (!deployment) {
        std::cerr << "there is no deployment " << deployment_ << "; see --help\n";
        return 1;
    }
    if (hosts_ > 0) {
        for (auto& kind : deployment->kinds) {
            kind.per_second *= static_cast<double>(hosts_) / deployment->hosts;
        }
        deployment->hosts = hosts_;
    }
    if (const auto one = find_workload_trouble(troubles_)) {
        day_.troubles = {*one};
    } else if (troubles_ == "none") {
        day_.troubles.clear();
    } else if (troubles_ != "all") {
        std::cerr << "there is no trouble " << troubles_ << "; see --help\n";
        return 1;
    }
    const auto declared = find_declared_times(declared_);
    if (!declared) {
        std::cerr << "there are no declared times " << declared_ << "; see --help\n";
        return 1;
    }
    day_.declared = *declared;
    totals all;
    for (std::uint64_t seed = seed_; seed < seed_ + seeds_; ++seed) {
        const auto trace = make_workload_trace(*deployment, day_, seed);
        const auto result = workload_simulation(trace, seed).run();
        const auto measures = measure(trace, result);
        all.add(measures, result);
        if (verbose_) {
            std::cerr << "seed " << seed << " worth " << measures.worth << " day "
                      << measures.whole_day << " windows " << measures.worst_windows << " waste "
                      << measures.waste_price << "\n";
        }
    }
    auto out = all.to_json(*deployment);
    out["deployment"] = deployment->name;
    out["seeds"] = seeds_;
    out["load"] = day_.load;
    out["declared"] = declared_;
    std::cout << out.dump(2) << "\n";
    return all.overfull > 0 ? 1 : 0;
}

}  // namespace baobabrack::bench
