#ifndef BAOBABRACK_WORKLOAD_RUN_TIME_ESTIMATES_HPP
#define BAOBABRACK_WORKLOAD_RUN_TIME_ESTIMATES_HPP

#include <cstdint>
#include <map>
#include <optional>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/names.hpp"

namespace baobabrack::workload {

/// Corrects the estimated run times of each queue's tasks by the run times observed so far.
///
/// Fits a line through the logarithms of estimated and observed run times. Where estimates say
/// little, the slope is near zero and every task is expected to take the usual time of its queue.
///
/// Load pattern: bursts of urgent jobs whose estimates are wrong by a factor of two or more.
/// Ordering, reservations and preemption by such estimates delays jobs that could be in time.
class run_time_estimates {
public:
    /// Records a run from start to end.
    ///
    /// @param estimated the estimate given with the job
    /// @param took      time from the start to the end of the run
    void add(const queue_id& queue, duration estimated, duration took);

    /// @return the expected run time; the estimate itself while too few runs are known
    duration expected(const queue_id& queue, duration estimated) const;

    /// @return a run time that few tasks exceed, or nothing while too few runs are known
    std::optional<duration> upper_bound(const queue_id& queue, duration estimated) const;

private:
    // Sums for the regression of `log(took)` on `log(estimated)`.
    struct statistics {
        std::uint32_t count = 0;
        double mean_estimated = 0;
        double mean_took = 0;
        double squares_estimated = 0;
        double squares_took = 0;
        double products = 0;

        double slope() const;
        double deviation() const;
        double predict(duration estimated) const;
    };
    const statistics* find(const queue_id& queue, duration estimated) const;

    std::map<queue_id, statistics> queues_;
};

}  // namespace baobabrack::workload

#endif
