#ifndef BAOBABRACK_BENCH_WORKLOAD_EXPERIMENT_HPP
#define BAOBABRACK_BENCH_WORKLOAD_EXPERIMENT_HPP

#include <cstdint>
#include <string>

#include "experiment.hpp"
#include "workload_trace.hpp"

namespace baobabrack::bench {

/// How well the scheduler's decisions serve days of jobs with steps, gangs and priorities, apart
/// from what fails around them.
class workload_experiment : public experiment {
public:
    CLI::App* add_to(CLI::App& app) override;
    int run() override;

private:
    std::string deployment_ = "flechtal";
    std::uint64_t seed_ = 1;
    std::uint32_t seeds_ = 20;
    std::uint32_t hosts_ = 0;
    workload_day day_;
    std::string troubles_ = "all";
    std::string declared_ = "by_kind";
    bool verbose_ = false;
};

}  // namespace baobabrack::bench

#endif
