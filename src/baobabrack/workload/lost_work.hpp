#ifndef BAOBABRACK_WORKLOAD_LOST_WORK_HPP
#define BAOBABRACK_WORKLOAD_LOST_WORK_HPP

#include <array>
#include <cstddef>
#include <optional>

#include "baobabrack/units/resources.hpp"
#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/lost_work_cause.hpp"
#include "baobabrack/workload/worker_report.hpp"

namespace baobabrack::workload {

/// Returns why the work of a run that has ended was lost.
///
/// @param stopped why the scheduler stopped the run; nothing if this leader did not
/// @return nothing if the run is done, so that its work is not lost
std::optional<lost_work_cause> lost_work_cause_of(run_outcome outcome,
                                                  std::optional<stop_cause> stopped);

/// The times of a run as one leader has observed them; zero if it has not.
struct run_times {
    time_point assigned{};
    /// When the worker's lists first contained the run.
    time_point listed_since{};
    /// When the latest checkpoint of this run was reported.
    time_point checkpoint_at{};
    /// The end of the run, or the last time at which it was known to last.
    time_point ended{};
    /// An earlier leader has assigned the run, so `assigned` is when this leader took over.
    bool restored = false;
};

/// What became of the time of a run.
struct run_account {
    /// Nothing if the run is done.
    std::optional<lost_work_cause> cause;
    /// Run time whose work has to be done again or is not needed.
    duration lost{};
    /// Run time whose work a checkpoint preserves.
    duration saved{};
    /// Time from the assignment until the worker listed the run; nothing if that is not known.
    std::optional<duration> start_delay;
};

/// Divides the run time at the latest checkpoint. A run that was never listed has no run time.
run_account account_for(const run_times& times, std::optional<lost_work_cause> cause);

/// Lost work by cause.
class lost_work_totals {
public:
    /// Adds the lost work of a run.
    ///
    /// @param per_task what the run used; an accelerator counts as several processors
    void add(const run_account& account, const resources& per_task);
    void add(const lost_work_totals& other);

    /// @return lost work in core-seconds
    double core_seconds(lost_work_cause cause) const;

private:
    std::array<double, lost_work_causes.size()> core_seconds_{};
};

}  // namespace baobabrack::workload

#endif
