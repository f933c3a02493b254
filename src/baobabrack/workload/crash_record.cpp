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
// Nor after this many crashes, excused ones included, if this many of them count.
constexpr std::uint32_t max_crashes = 5;
constexpr std::uint32_t min_counted_crashes = 3;
// Accuracy of the run time at a crash: the worker has listed the run only until its latest lists,
// which are rarely older.
constexpr duration run_time_tolerance = std::chrono::seconds{1};
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
    if (suspects.empty()) {
        suspects = select(
            runs, [](const crashed_run& run) { return run.observed && !is_settled(run.run_time); });
    }
    if (suspects.empty()) {
        suspects = select(runs, [](const crashed_run&) { return true; });
    }
    return suspects;
}

void note_crash(crash_record& record) {
    ++record.excused_crashes;
}

void forget_crash(crash_record& record) {
    --record.excused_crashes;
}

bool excuse_crash(crash_record& record, const crashed_run& run, const crash_circumstances& crash) {
    if (record.crashes + record.excused_crashes > 1) {
        return false;
    }
    record.last_host = crash.host;
    record.last_run_time = run.run_time;
    return true;
}

void count_crash(crash_record& record, const crashed_run& run, bool suspect,
                 const crash_circumstances& crash) {
    --record.excused_crashes;
    ++record.crashes;
    const bool settled = is_settled(run.run_time);
    record.early_crashes += settled ? 0 : 1;
    if (record.early_crashes >= crashes_until_trial) {
        record.trial = std::max(record.trial, settle_time);
    }
    if (crash.scope == crash_scope::several) {
        return;
    }
    const bool same_run_time =
        run.begun && std::chrono::abs(run.run_time - record.last_run_time) <= run_time_tolerance;
    if (suspect && run.on_trial) {
        ++record.trial_crashes;
        record.repeated_crashes += same_run_time ? 1 : 0;
        record.on_several_hosts =
            record.on_several_hosts || (same_run_time && record.last_host != crash.host);
    }
    const bool young = run.on_trial || !settled;
    const bool settled_beside_suspects = !suspect && settled;
    const bool again = settled_beside_suspects ||
                       (record.crashes >= crashes_until_trial && (young || same_run_time));
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
    const bool too_many = record.crashes >= min_counted_crashes &&
                          record.crashes + record.excused_crashes >= max_crashes;
    return record.repeated_crashes >= limit || record.early_crashes >= max_early_crashes ||
           too_many;
}

bool outlives_record(const crash_record& record, duration run_time, bool long_running) {
    const auto last_crash = long_running ? duration::zero() : record.last_run_time + settle_time;
    return run_time >= std::max({record_lifetime, record.trial, last_crash});
}

}  // namespace baobabrack::workload
