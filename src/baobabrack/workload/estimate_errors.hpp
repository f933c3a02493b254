#ifndef BAOBABRACK_WORKLOAD_ESTIMATE_ERRORS_HPP
#define BAOBABRACK_WORKLOAD_ESTIMATE_ERRORS_HPP

#include <cstdint>
#include <map>
#include <optional>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/names.hpp"

namespace baobabrack::workload {

/// How far the run times of each queue's tasks are from their estimates.
///
/// Answers the load in which callers' estimates are off by several times: what a queue's estimates
/// were worth before tells how far the next one can be trusted.
class estimate_errors {
public:
    /// A run took this long on a sound worker near its data.
    void add(const queue_id& queue, duration estimated, duration took);

    /// @return the factor on an estimate that few runs of the queue exceed, or nothing while too
    ///         few runs are known
    std::optional<double> upper_factor(const queue_id& queue) const;

private:
    /// Mean and variance of the factors' logarithms, updated one by one.
    struct summary {
        std::uint32_t count = 0;
        double mean = 0;
        double squared_deviations = 0;
    };

    std::map<queue_id, summary> queues_;
};

}  // namespace baobabrack::workload

#endif
