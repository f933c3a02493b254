#include "baobabrack/workload/crash_record.hpp"

#include <algorithm>

namespace baobabrack::workload {

namespace {

// A run that has been listed for this long has survived its start.
constexpr duration settle_time = std::chrono::milliseconds{1500};
// Repeated crashes after which a task is given up, and the same if the host or another cause may be
// at fault.
constexpr std::uint32_t max_repeated_crashes = 2;
constexpr std::uint32_t max_repeated_crashes_in_doubt = 3;
// A task is not started again after this many early crashes. A crash that no leader has seen leaves
// room for one more start.
constexpr std::uint32_t max_early_crashes = 4;
// A task is not started again after this many crashes if several of them were in trials.
constexpr std::uint32_t max_crashes = 5;
constexpr std::uint32_t min_trial_crashes = 3;
// Accuracy of the run time at a crash: the time between two lists, and some delay.
constexpr duration run_time_tolerance = std::chrono::milliseconds{750};
// Suspicions against a long-running task do not add up over its life.
constexpr duration record_lifetime = std::chrono::seconds{30};
// Other runs get a trial only when it happens again, as long after the start if they had settled:
// most crashes have other causes, and a trial withholds free capacity.
constexpr std::uint32_t crashes_until_trial = 2;

template <typename Condition>
std::vector<std::size_t> select(const std::vector<crashed_run>& runs, Condition condition) {
    std::vector<std::size_t> selected;
    for (std::size_t index = 0; index < runs.size(); ++index) {
        if (condition(runs[index])) {
            selected.push_back(index);
        }
    }
    return selected;
}

}  // namespace

bool is_settled(duration run_time) {
    return run_time >= settle_time;
}

std::vector<std::size_t> find_suspects(const std::vector<crashed_run>& runs,
                                       const crash_circumstances& crash) {
    if (crash.scope == crash_scope::several) {
        return {};
    }
    auto suspects = select(runs, [](const crashed_run& run) { return run.on_trial; });
    if (crash.scope == crash_scope::unknown) {
        return suspects;
    }
    if (suspects.empty()) {
        suspects = select(
            runs, [](const crashed_run& run) { return run.observed && !is_settled(run.run_time); });
    }
    if (suspects.empty()) {
        suspects = select(runs, [](const crashed_run&) { return true; });
    }
    return suspects;
}

void record_early_crash(crash_record& record) {
    ++record.early_crashes;
    if (record.early_crashes >= crashes_until_trial) {
        record.trial = std::max(record.trial, settle_time);
    }
}

void record_crash(crash_record& record, const crashed_run& run, bool suspect,
                  const crash_circumstances& crash) {
    const auto difference = std::chrono::abs(run.run_time - record.last_run_time);
    const bool attributed = suspect && run.on_trial && crash.scope == crash_scope::single;
    ++record.crashes;
    if (attributed) {
        ++record.trial_crashes;
    }
    if (attributed && run.begun && difference <= run_time_tolerance) {
        ++record.repeated_crashes;
        record.on_several_hosts = record.on_several_hosts || record.last_host != crash.host;
    }
    const bool young = run.on_trial || !is_settled(run.run_time);
    const bool again = record.crashes >= crashes_until_trial &&
                       (young || (run.begun && difference <= run_time_tolerance));
    record.last_host = crash.host;
    record.last_run_time = run.begun ? run.run_time : record.last_run_time;
    record.other_causes = record.other_causes || crash.other_causes;
    if ((suspect && young && !run.long_running) || again) {
        record.trial = std::max(record.trial, run.run_time + settle_time);
    }
}

bool crashes_workers(const crash_record& record) {
    const bool proved = record.on_several_hosts && !record.other_causes;
    const auto limit = proved ? max_repeated_crashes : max_repeated_crashes_in_doubt;
    return record.repeated_crashes >= limit || record.early_crashes >= max_early_crashes ||
           (record.crashes >= max_crashes && record.trial_crashes >= min_trial_crashes);
}

bool outlives_record(const crash_record& record, duration run_time) {
    return run_time >= std::max(record_lifetime, record.trial);
}

}  // namespace baobabrack::workload
