#ifndef BAOBABRACK_WORKLOAD_GUARDED_RUNS_HPP
#define BAOBABRACK_WORKLOAD_GUARDED_RUNS_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

/// A run of a task.
using run_key = std::pair<task_name, run_number>;

/// What a guard knows of the runs on its worker: the worker's own lists, the starts that they do
/// not show yet, and the starts that have not happened and never will.
class guarded_runs {
public:
    /// A start that the worker is proved not to have carried out.
    struct missed_start {
        start_order run;
        /// How often it has been tried.
        unsigned tries = 0;
    };

    /// What new lists have brought.
    struct changes {
        /// Whether there is news for the leader.
        bool news = false;
        /// Starts that the worker does not have although it was asked after them: they never
        /// happened, and the token that asked keeps them from happening. They are left out of
        /// what the worker may have.
        std::vector<missed_start> missed;
    };

    /// Forgets everything, for a new life of the worker.
    void clear();

    /// The lists are not to be told until new ones have come.
    void distrust_lists() { lists_known_ = false; }

    bool lists_known() const { return lists_known_; }

    /// @return whether the worker has the run or may have it
    bool has(const run_key& key) const;

    /// @return whether nothing is known of the run: it may be started
    bool unheard_of(const run_key& key) const;

    /// @return whether the run's end is listed
    bool ended(const run_key& key) const;

    /// @return whether a run fits beside the ones that were started here; those from before this
    ///         guard's time are the leader's to count
    bool fits(const resources& needs, const resources& capacity) const;

    /// A start goes out.
    ///
    /// @param tries how often it has been tried, with this time
    void begin(const start_order& run, unsigned tries);

    /// The worker has answered that it did nothing for a start.
    ///
    /// @return the start, which is left out of what the worker may have; nothing if it is unknown
    std::optional<missed_start> take_back(const run_key& key);

    /// @return whether the start's answer is still awaited
    bool awaits(const run_key& key) const;

    /// The worker has accepted a start, or has not answered; lists of this hold or a later one
    /// show it if it happened.
    void settle(const run_key& key, std::uint64_t hold);

    /// The run was not started and never will be.
    void refuse(const run_key& key, std::string reason);

    /// Takes the worker's lists.
    ///
    /// @param hold        number of the hold that they answer
    /// @param ends_stored ends up to this one are over and done with
    changes take(std::uint64_t hold, const run_lists& lists, std::uint64_t ends_stored);

    /// Adds everything to a report.
    void tell(worker_report& report, std::uint64_t report_number);

    /// Refusals that were told in a report up to this one are known to the leader.
    void answered(std::uint64_t report_number);

private:
    struct started_run {
        start_order run;
        unsigned tries = 0;
        /// Zero while the answer is awaited.
        std::uint64_t decided_by_hold = 0;
    };
    struct refusal {
        std::string reason;
        /// Zero until it was told.
        std::uint64_t first_report = 0;
    };

    bool listed(const run_key& key) const;

    bool lists_known_ = false;
    std::vector<reported_run> runs_;
    std::vector<ended_run> ends_;
    std::map<run_key, started_run> starts_;
    std::map<run_key, refusal> refusals_;
    std::uint64_t newest_end_ = 0;
};

}  // namespace baobabrack::workload

#endif
