#ifndef BAOBABRACK_WORKLOAD_CRASH_RECORD_HPP
#define BAOBABRACK_WORKLOAD_CRASH_RECORD_HPP

#include <cstddef>
#include <cstdint>
#include <vector>

#include "baobabrack/units/time.hpp"
#include "baobabrack/workload/names.hpp"

namespace baobabrack::workload {

/// The crashes of workers that a task may have caused.
///
/// A crash ends every run on the worker, so being there is no proof. A suspect gets a trial: its
/// next run starts on a worker where no other run starts until the trial has passed. A task that
/// causes crashes does so each time as long after its start, which other causes do not.
struct crash_record {
    /// Crashes of workers that had a run of the task, whatever else crashed at that time.
    std::uint32_t crashes = 0;
    /// Those that came before the run had settled.
    std::uint32_t early_crashes = 0;
    /// Crashes that have another cause, or have not been judged yet.
    std::uint32_t excused_crashes = 0;
    /// Crashes during trials.
    std::uint32_t trial_crashes = 0;
    /// Crashes during trials that came as long after the start as the crash before.
    std::uint32_t repeated_crashes = 0;
    /// Whether a repeated crash was on another host than the crash before.
    bool on_several_hosts = false;
    host_id last_host;
    /// How long the run had lasted at the latest crash of a run that had begun.
    duration last_run_time{};
    /// Workers also crashed without a run that may have caused it, so more proof is needed.
    bool other_causes = false;
    /// How long the next run has to last until the trial has passed; zero if no trial is needed.
    duration trial{};

    friend bool operator==(const crash_record&, const crash_record&) = default;
};

/// A run on a worker that has crashed.
struct crashed_run {
    /// The run is on trial and has not passed it.
    bool on_trial = false;
    /// How long the worker is known to have listed the run.
    duration run_time{};
    /// The worker has confirmed that the run had begun. Otherwise the worker may have been down.
    bool begun = true;
    /// Whether `run_time` covers the run from its start. It does not if this leader took the run
    /// over and has not seen it listed.
    bool observed = true;
    /// The task serves as long as it runs, so it does not wait for a trial after its first crash.
    bool long_running = false;
};

/// Which workers crashed at the same time.
enum class crash_scope {
    /// No other worker did, or each of them had a run that may have caused it.
    single,
    /// Another worker did that had no run that may have caused it.
    several,
};

/// What else is known of a crash.
struct crash_circumstances {
    host_id host;
    crash_scope scope = crash_scope::single;
    /// Workers have recently crashed without a run that may have caused it.
    bool other_causes = false;
};

/// @return whether a run that has lasted this long is no longer suspected of a crash that is caused
///         by the start of a task
bool is_settled(duration run_time);

/// Selects the runs that may have caused the crash of their worker: the runs on trial; if there are
/// none, those that started shortly before; if there are none, all of them. There are no suspects
/// if several workers crashed.
///
/// @return indices into `runs`
std::vector<std::size_t> find_suspects(const std::vector<crashed_run>& runs,
                                       const crash_circumstances& crash);

/// Notes a crash that has not been judged yet. Until then it is excused, so that it is not
/// forgotten if another leader takes over.
void note_crash(crash_record& record);

/// Forgets a crash that has been noted, since the run had not been started.
void forget_crash(crash_record& record);

/// Excuses a crash that has been noted, since other runs on the worker are suspected. How long the
/// run had lasted is remembered. Only the first crash under a task is excused so: a task that
/// crashes its workers late always has younger runs beside it.
///
/// @return false if the crash cannot be excused and has to be counted
bool excuse_crash(crash_record& record, const crashed_run& run, const crash_circumstances& crash);

/// Counts a crash that has been noted. Orders a trial for a suspect whose run was young unless it
/// is long-running, for a task to which this has happened before, if its run was young, had lasted
/// as long then or had settled beside suspects, and after the second early crash, whatever else
/// crashed.
void count_crash(crash_record& record, const crashed_run& run, bool suspect,
                 const crash_circumstances& crash);

/// @return whether the task is to be given up: its trials have ended in the same crash again, or so
///         many workers have crashed under it that another start is not justified
bool crashes_workers(const crash_record& record);

/// @param long_running whether the task serves as long as it runs
/// @return whether a run has lasted so long that the record no longer applies: a task that causes
///         crashes does not last longer than it did at the latest one
bool outlives_record(const crash_record& record, duration run_time, bool long_running);

}  // namespace baobabrack::workload

#endif
