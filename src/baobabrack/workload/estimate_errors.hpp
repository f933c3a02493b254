#ifndef BAOBABRACK_WORKLOAD_ESTIMATE_ERRORS_HPP
#define BAOBABRACK_WORKLOAD_ESTIMATE_ERRORS_HPP

#include <cstdint>
#include <map>
#include <optional>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/names.hpp"

namespace baobabrack::workload {

/// Statistics of the ratio between run time and estimate, for each queue.
///
/// Estimates of callers can be off by several times. The earlier estimates of a queue show how far
/// the next one can be trusted.
class estimate_errors {
public:
    /// Adds the run time of a task on a worker of normal speed near its data.
    void add(const queue_id& queue, duration estimated, duration took);

    /// @return the ratio of run time to estimate that few runs of the queue exceed, or nothing
    ///         while too few runs have been added
    std::optional<double> upper_factor(const queue_id& queue) const;

private:
    /// Running mean and sum of squared deviations of the logarithms of the ratios.
    struct summary {
        std::uint32_t count = 0;
        double mean = 0;
        double squared_deviations = 0;
    };

    std::map<queue_id, summary> queues_;
};

}  // namespace baobabrack::workload

#endif
