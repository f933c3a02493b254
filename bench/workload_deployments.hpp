#ifndef BAOBABRACK_BENCH_WORKLOAD_DEPLOYMENTS_HPP
#define BAOBABRACK_BENCH_WORKLOAD_DEPLOYMENTS_HPP

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/units/resources.hpp"

namespace baobabrack::bench {

/// Log-normal amounts, cut off above.
struct spread_amount {
    double mean = 1;
    /// Standard deviation of the logarithm.
    double spread = 0;
    double most = 1;
};

/// One kind of job, as its callers submit it.
struct workload_kind {
    std::string name;
    std::uint32_t priority = 0;
    /// Worth of a job of mean size in time, and when it is late.
    double worth = 1;
    double late_worth = 0;
    double per_second = 0;
    std::uint32_t most_attempts = 1;
    double slack_factor = 1;
    double target_completion_s = 0;
    spread_amount steps;
    spread_amount width;
    /// Run time of a task.
    spread_amount run_s;
    /// Spread of a task's run time within its step.
    double uneven = 0;
    /// Spread of the estimate's error.
    double estimate_error = 0;
    resources per_task;
    /// One of these is drawn for each job.
    std::vector<std::uint32_t> accelerators;
    bool gangs = false;
    double rack_local_share = 0;
    double checkpoint_share = 0;
    double data_rack_share = 0;
    double apart_share = 0;
    double cancel_share = 0;
    /// Share of the runs that fail by the task's own fault.
    double failing_share = 0;
    /// Jobs that are there at the start.
    std::uint32_t waiting_at_start = 0;
};

/// Workers and the load on them.
struct workload_deployment {
    std::string name;
    std::uint32_t hosts = 0;
    std::uint32_t hosts_per_rack = 0;
    resources per_host;
    double remote_penalty = 3;
    double checkpoint_interval_s = 0.5;
    double restore_s = 0.1;
    double stop_s = 0.2;
    /// Price of a core-second that is thrown away, in worth.
    double waste_price = 0;
    std::vector<workload_kind> kinds;
};

/// @return the deployment, or nothing if there is none of that name
std::optional<workload_deployment> find_workload_deployment(std::string_view name);

/// @return the names of all deployments
std::vector<std::string> workload_deployment_names();

}  // namespace baobabrack::bench

#endif
