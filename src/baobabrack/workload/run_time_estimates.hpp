#ifndef BAOBABRACK_WORKLOAD_RUN_TIME_ESTIMATES_HPP
#define BAOBABRACK_WORKLOAD_RUN_TIME_ESTIMATES_HPP

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/names.hpp"

namespace baobabrack::workload {

/// Corrects the declared run times of each queue's tasks by the run times observed so far.
///
/// Fits a line through the logarithms of declared and observed run times. Without data its slope is
/// 1, so that declared times are in proportion; only data moves it to 0, where every task is
/// expected to take the usual time of its queue. Outside the declared times of the data, the slope
/// is 1 and no bound is known. See docs/design/run-time-estimates.md.
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

    /// @return a run time that few tasks exceed, or nothing while too few runs with such estimates
    ///         are known
    std::optional<duration> upper_bound(const queue_id& queue, duration estimated) const;

private:
    // Logarithms of seconds.
    struct sample {
        double estimated = 0;
        double took = 0;
    };
    // The latest runs with estimates of one class.
    struct window {
        std::vector<sample> samples;
        std::size_t next = 0;
    };
    struct queue_runs {
        // By the binary logarithm of the estimate. The range of estimates bounds their number.
        std::map<int, window> classes;
        // The fit to all samples.
        std::size_t count = 0;
        double lowest = 0;
        double highest = 0;
        double mean_estimated = 0;
        double mean_took = 0;
        double slope = 1;
        double deviation = 0;

        void fit();
        double predict(double log_estimated) const;
    };
    const queue_runs* find(const queue_id& queue, duration estimated) const;

    std::map<queue_id, queue_runs> queues_;
};

}  // namespace baobabrack::workload

#endif
