#ifndef BAOBABRACK_BENCH_WORKLOAD_TRACE_HPP
#define BAOBABRACK_BENCH_WORKLOAD_TRACE_HPP

#include <cstdint>
#include <optional>
#include <string_view>
#include <vector>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/job_spec.hpp"
#include "workload_deployments.hpp"

namespace baobabrack::bench {

/// A job with what no scheduler knows of it.
struct workload_job {
    workload::job_spec spec;
    std::size_t kind = 0;
    time_point submitted{};
    std::optional<time_point> cancelled;
    /// True run times in seconds, by step and task.
    std::vector<std::vector<double>> run_s;
    /// Accelerators and processors times run time; an accelerator counts as eight processors.
    double work = 0;
    /// Worth in time.
    double worth = 0;
    double late_worth = 0;
    /// In time until then, late until `give_up`.
    time_point objective{};
    time_point give_up{};
};

/// Workers of which something is wrong for a while.
struct workload_trouble {
    enum class kind { slow, crashed, failing, standing_still };
    kind what = kind::slow;
    std::uint32_t host = 0;
    time_point from{};
    time_point until{};
    /// Of a slow worker.
    double factor = 1;
};

struct workload_trace {
    workload_deployment deployment;
    /// By the time they are submitted.
    std::vector<workload_job> jobs;
    std::vector<workload_trouble> troubles;
    time_point end{};
};

/// How declared run times relate to the true ones.
enum class declared_times {
    /// Off by the log-normal error of the job's kind.
    by_kind,
    right,
    /// Off by a factor of up to 1.9 either way; 3% of the steps take 7 times as long.
    production,
    /// Unrelated to the run time: log-normal errors by a factor of e.
    wrong,
    /// As `production`, with short steps alone in the first third of the day and some eight times
    /// longer ones beside them later.
    mixed,
    /// As `production`, with true times that grow from half to four times the declared ones.
    drifting,
};

/// @return the kind of declared times of this name, or nothing
std::optional<declared_times> find_declared_times(std::string_view name);

/// How hard a day is.
struct workload_day {
    /// Times the usual rate of jobs.
    double load = 1;
    /// Times the urgent rate for some seconds.
    double burst = 2;
    declared_times declared = declared_times::by_kind;
    /// What may be wrong with workers.
    std::vector<workload_trouble::kind> troubles{
        workload_trouble::kind::slow, workload_trouble::kind::crashed,
        workload_trouble::kind::failing, workload_trouble::kind::standing_still};
};

/// @return the trouble of this name, or nothing
std::optional<workload_trouble::kind> find_workload_trouble(std::string_view name);

/// Makes the jobs and troubles of a day.
workload_trace make_workload_trace(const workload_deployment& deployment, const workload_day& day,
                                   std::uint64_t seed);

}  // namespace baobabrack::bench

#endif
