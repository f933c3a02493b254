#ifndef BAOBABRACK_WORKLOAD_GUARDED_RUNS_HPP
#define BAOBABRACK_WORKLOAD_GUARDED_RUNS_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

/// Identifies a run of a task.
using run_key = std::pair<task_name, run_number>;

/// Tracks the runs on the worker of a guard: the run lists that the worker reports, the starts that
/// these lists do not show yet, and the refused starts, which have not happened and never will.
class guarded_runs {
public:
    /// A start that the worker is confirmed not to have carried out.
    struct lost_start {
        start_order run;
        /// Number of attempts so far.
        unsigned attempts = 0;
        /// The worker has had the run, or rejects it for good, so another attempt is pointless.
        bool outdated = false;
    };

    /// Changes that new run lists have caused.
    struct list_changes {
        /// Whether there are changes that the leader has to know.
        bool report_needed = false;
        /// Starts that are missing from lists requested after them: they have not happened, and
        /// the higher token of that request prevents them from happening later. They no longer
        /// count as runs that the worker may have.
        std::vector<lost_start> lost_starts;
    };

    /// Clears all state, for a new instance of the worker.
    void clear();

    /// Marks the lists as unknown until new ones arrive.
    void invalidate_lists() { lists_known_ = false; }

    bool lists_known() const { return lists_known_; }

    /// @return whether this worker instance has returned lists, even if they are invalid by now
    bool lists_seen() const { return lists_seen_; }

    /// @return whether the worker has runs that its latest lists do not show
    bool lists_incomplete() const { return lists_incomplete_; }

    /// @return whether the worker has the run, or may have it because a start is pending
    bool may_have(const run_key& key) const;

    /// @return whether the lists do not show yet whether some start has happened
    bool has_unlisted_starts() const;

    /// @return whether the run is certainly neither present, ended nor refused, so that it may be
    ///         started
    bool is_unknown(const run_key& key) const;

    /// @return whether the worker lists the end of the run
    bool has_ended(const run_key& key) const;

    /// @return whether the run has ended or, since the lists are incomplete, may have started or
    ///         ended unnoticed
    bool may_have_ended(const run_key& key) const { return lists_incomplete_ || has_ended(key); }

    /// Records what a listed run needs that an earlier guard has started.
    void record_needs(const run_needs& known);

    /// @return whether the capacity suffices for a run in addition to the runs on the worker; a run
    ///         for which the leader has not told what it needs counts as none
    bool fits(const resources& needs, const resources& capacity) const;

    /// Records that a start call is sent.
    ///
    /// @param attempts number of attempts, including this one
    void record_start(const start_order& run, unsigned attempts);

    /// Removes a start for which the worker has answered that it did nothing.
    ///
    /// @return the start, or nothing if it is unknown
    std::optional<lost_start> withdraw_start(const run_key& key);

    /// @return whether the answer to the start call is still pending
    bool awaits_reply(const run_key& key) const;

    /// Records that the worker has accepted a start or has not answered it. The run lists of this
    /// lease renewal, and of any later one, show the run if the start happened.
    ///
    /// @param accepted whether the worker has accepted the start
    void set_deciding_renewal(const run_key& key, std::uint64_t renewal, bool accepted);

    /// Records that the worker has rejected a start because the run was stopped or has ended there.
    /// The run lists of this lease renewal, and of any later one, show the end if there is one.
    void set_outdated(const run_key& key, std::uint64_t renewal);

    /// Records that the run was not started and never will be.
    void record_refusal(const run_key& key, std::string reason);

    /// Applies new run lists of the worker.
    ///
    /// @param renewal     number of the lease renewal that returned the lists
    /// @param ends_stored run ends up to this number are stored and are not reported again
    list_changes apply_lists(std::uint64_t renewal, const run_lists& lists,
                             std::uint64_t ends_stored);

    /// @return the runs that the worker has or may have
    std::vector<sent_run> sent_runs() const;

    /// Adds the lists, pending starts and refusals to a report.
    void add_to(worker_report& report, std::uint64_t report_number);

    /// Discards the refusals that the leader has received, in this report or an earlier one.
    void acknowledge_report(std::uint64_t report_number);

private:
    struct started_run {
        start_order run;
        unsigned attempts = 0;
        /// Number of the lease renewal whose lists decide whether the start happened; zero while
        /// the answer to the start is pending.
        std::uint64_t deciding_renewal = 0;
        bool accepted = false;
        bool outdated = false;
        /// The payload is not kept from then on.
        bool was_listed = false;
    };
    struct refusal {
        std::string reason;
        /// Number of the first report that contains the refusal; zero before it.
        std::uint64_t first_report = 0;
    };

    bool is_listed(const run_key& key) const { return listed_.contains(key); }
    resources used() const;

    bool lists_known_ = false;
    bool lists_seen_ = false;
    bool lists_incomplete_ = false;
    std::vector<reported_run> runs_;
    std::vector<ended_run> ends_;
    // The same by key.
    std::set<run_key> listed_;
    std::set<run_key> ended_;
    std::map<run_key, started_run> starts_;
    // Listed runs that an earlier guard has started.
    std::map<run_key, resources> inherited_;
    // What all known runs need; empty if it has to be added up again.
    mutable std::optional<resources> used_;
    std::map<run_key, refusal> refusals_;
    std::uint64_t newest_end_ = 0;
};

}  // namespace baobabrack::workload

#endif
