#include <memory>

#include "callers_experiment.hpp"
#include "experiment.hpp"
#include "loopback_experiment.hpp"
#include "placement_experiment.hpp"
#include "policy_experiment.hpp"
#include "recovery_experiment.hpp"
#include "requests_experiment.hpp"
#include "slopes_experiment.hpp"
#include "workload_experiment.hpp"

namespace baobabrack::bench {

std::vector<std::unique_ptr<experiment>> all_experiments() {
    std::vector<std::unique_ptr<experiment>> experiments;
    experiments.push_back(std::make_unique<placement_experiment>());
    experiments.push_back(std::make_unique<policy_experiment>());
    experiments.push_back(std::make_unique<recovery_experiment>());
    experiments.push_back(std::make_unique<requests_experiment>());
    experiments.push_back(std::make_unique<slopes_experiment>());
    experiments.push_back(std::make_unique<loopback_experiment>());
    experiments.push_back(std::make_unique<callers_experiment>());
    experiments.push_back(std::make_unique<workload_experiment>());
    return experiments;
}

}  // namespace baobabrack::bench
