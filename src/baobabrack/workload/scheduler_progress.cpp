// Progress of runs: stalled runs, slow workers, and observed run times.
#include <algorithm>
#include <set>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

namespace {

// A run has stalled if its percentage does not change for `stall_base` plus the time that it needs
// for `stall_percent` percent at its fastest rate. Slow workers are up to seven times slower, so
// that a run there shows a percent within the time for eight.
constexpr duration stall_base = std::chrono::milliseconds{1500};
constexpr double stall_percent = 8;
// ... and for longer than this many times the longest pause after which the run went on.
constexpr int pause_factor = 2;
// Where other runs suggest that the run is long rather than stalled, it is given this many times as
// long to its first progress.
constexpr int benefit_of_doubt = 2;
// Additional time before the first progress: for starting a task, for a gang until all its runs
// have started, and in both cases a share of the estimated run time.
constexpr duration start_allowance = std::chrono::milliseconds{700};
constexpr duration gang_start_allowance = std::chrono::milliseconds{1500};
constexpr double start_share = 0.06;
// A run is moved from a slow worker if the expected remaining time there is longer than that
// elsewhere by this much plus a fifth.
constexpr duration min_time_saved = std::chrono::milliseconds{600};
constexpr double gain_factor = 1.2;
// A slow worker is expected to stay slow for as long as it has been slow so far, at least for this
// time, and then to regain full speed.
constexpr duration min_slow_time = std::chrono::seconds{5};
// Minimum number of measured sibling runs for a comparison.
constexpr std::size_t min_siblings = 3;
constexpr double full_percent = 100;
// The time until a run counts as stalled doubles with each stalled run of its task, this often at
// most.
constexpr std::uint32_t max_stall_doublings = 6;

}  // namespace

// Records the run time against its estimate, once per gang, if the run started from the beginning
// and had a fast placement and a worker of normal speed.
void scheduler::record_run_time(const task_ref& ref, time_point now) {
    const bool from_start = ref.task->checkpoint.empty() || !ref.step->checkpoints;
    const bool leads_gang = ref.index == 0 || !ref.step->gang;
    if (from_start && leads_gang && has_fast_placement(ref) &&
        !ref.state->worker->speed.is_slow(now)) {
        run_times_.add(ref.job->spec.queue, ref.job->declared_run_times[ref.step_number],
                       now - ref.state->assigned_at);
    }
}

void scheduler::check_progress(const task_name& name, const reported_run& run, const task_ref& ref,
                               time_point now) {
    auto& measured = ref.state->measured_rate;
    measured.add_sample(run.percent, now);
    if (run.percent >= full_percent || ref.step->long_running || ref.state->stopping) {
        measured.restart(now);
        return;
    }
    const auto unchanged = now - measured.unchanged_since();
    const auto timeout = stall_timeout(ref);
    if (unchanged <= timeout ||
        (unchanged <= timeout * benefit_of_doubt && may_be_long(ref, timeout, now))) {
        return;
    }
    handle_stalled_run(name, ref, now);
}

// Returns whether a run without measured progress is more likely long than stalled: its worker
// makes progress with other jobs, or a run of its step on another worker shows no progress either.
// Says nothing about gangs, whose members wait for each other.
bool scheduler::may_be_long(const task_ref& ref, duration timeout, time_point now) {
    if (ref.step->gang || ref.state->measured_rate.has_measurement()) {
        return false;
    }
    const bool sibling_waits =
        std::any_of(ref.states->begin(), ref.states->end(), [&](const task_state& state) {
            return state.worker != nullptr && state.worker != ref.state->worker &&
                   !state.stopping && !state.measured_rate.has_measurement() &&
                   now - state.measured_rate.unchanged_since() > timeout / 2;
        });
    return sibling_waits || other_jobs_progress(*ref.state->worker, ref.job->spec.id, now);
}

// A stalled member of a gang blocks all others, so a worker is suspected only if no run of another
// job progresses on it. If this applies to several workers, they are only marked as degraded.
void scheduler::handle_stalled_run(const task_name& name, const task_ref& ref, time_point now) {
    std::set<worker_state*> suspects;
    for (auto& state : *ref.states) {
        const bool affected = ref.step->gang || &state == ref.state;
        if (affected && state.worker != nullptr &&
            !other_jobs_progress(*state.worker, name.step.job, now)) {
            suspects.insert(state.worker);
        }
    }
    for (auto* worker : suspects) {
        if (suspects.size() > 1) {
            worker->history.mark_degraded(now);
        } else {
            worker->speed.record_stall(now);
            worker->history.record_failure(name.step.job, now - ref.state->assigned_at, now);
        }
    }
    ++ref.state->stall_count;
    stop_run(name, ref, stop_cause::no_progress,
             " at " + std::to_string(ref.state->measured_rate.percent()) + "%");
}

// Returns whether runs of other jobs on the worker have made progress recently.
bool scheduler::other_jobs_progress(const worker_state& worker, const job_id& job, time_point now) {
    for (const auto& name : runs_by_host_[worker.facts.instance.host]) {
        if (name.step.job == job) {
            continue;
        }
        const auto ref = find(name);
        if (ref && ref->state->measured_rate.has_measurement() &&
            now - ref->state->measured_rate.unchanged_since() < stall_base) {
            return true;
        }
    }
    return false;
}

// A run whose estimate is far too low shows its first progress late, and one whose progress slows
// down seems to stall. Both look so on every worker, so each further run of the task gets more
// time.
duration scheduler::stall_timeout(const task_ref& ref) const {
    const auto& measured = ref.state->measured_rate;
    auto stalls = ref.state->stall_count;
    if (ref.step->gang) {
        for (const auto& state : *ref.states) {
            stalls = std::max(stalls, state.stall_count);
        }
    }
    const auto base = measured.has_measurement()
                          ? stall_base + from_seconds(stall_percent / measured.fastest())
                          : first_progress_timeout(ref);
    return std::max(base, measured.longest_pause() * pause_factor) *
           (1U << std::min(stalls, max_stall_doublings));
}

// Based on the declared run time too, in case it has been corrected too far downwards.
duration scheduler::first_progress_timeout(const task_ref& ref) {
    const auto& step = *ref.step;
    const auto run_time = std::max(step.estimated, ref.job->declared_run_times[ref.step_number]);
    return stall_base + (step.gang ? gang_start_allowance : start_allowance) +
           from_seconds(to_seconds(run_time) * start_share);
}

// Returns the expected rate in percent per second at the run's current host, or zero if unknown.
double scheduler::expected_rate(const task_ref& ref) const {
    const auto& measured = ref.state->measured_rate;
    if (!has_fast_placement(ref)) {
        return measured.fastest();
    }
    auto rate = std::max(measured.fastest(), sibling_rate(ref));
    const auto longest =
        run_times_.upper_bound(ref.job->spec.queue, ref.job->declared_run_times[ref.step_number]);
    if (longest) {
        rate = std::max(rate, full_percent / to_seconds(*longest));
    }
    return rate;
}

// Returns the median rate of the step's runs on other workers, or zero if too few are measured.
// Runs of a gang progress together and are not compared.
double scheduler::sibling_rate(const task_ref& ref) const {
    if (ref.step->gang) {
        return 0;
    }
    std::vector<double> rates;
    for (const auto& state : *ref.states) {
        if (&state != ref.state && state.worker != ref.state->worker &&
            state.measured_rate.has_measurement()) {
            rates.push_back(state.measured_rate.fastest());
        }
    }
    if (rates.size() < min_siblings) {
        return 0;
    }
    const auto middle = rates.begin() + static_cast<std::ptrdiff_t>(rates.size() / 2);
    std::nth_element(rates.begin(), middle, rates.end());
    return *middle;
}

// Returns whether the run is in the rack of its data and its gang in one rack, so that placement
// does not slow it down.
bool scheduler::has_fast_placement(const task_ref& ref) const {
    const auto rack_of = [](const task_state& state) {
        return state.worker == nullptr ? rack_id{} : state.worker->facts.rack;
    };
    const auto rack = rack_of(*ref.state);
    if (!ref.step->data_rack.get().empty() && ref.step->data_rack != rack) {
        return false;
    }
    return !ref.step->gang || !ref.step->rack_local ||
           std::all_of(ref.states->begin(), ref.states->end(),
                       [&](const task_state& state) { return rack_of(state) == rack; });
}

// Updates the speed of a worker from its newly measured runs. Uses the fastest one, since a run can
// be slow because of its own task or because of another member of its gang.
void scheduler::update_worker_speed(worker_state& worker, time_point now) {
    double share = 0;
    bool has_sample = false;
    bool shared = false;
    for (const auto& name : runs_by_host_[worker.facts.instance.host]) {
        const auto ref = find(name);
        if (!ref || !ref->state->measured_rate.has_new_window() || ref->state->stopping) {
            continue;
        }
        const auto expected = expected_rate(*ref);
        if (expected > 0 && ref->state->measured_rate.current() / expected >= share) {
            share = ref->state->measured_rate.current() / expected;
            shared = ref->step->gang && ref->step->tasks > 1;
            has_sample = true;
        }
    }
    if (has_sample) {
        worker.speed.add_sample(share, shared, now);
    }
    if (worker.speed.is_slow(now)) {
        const auto names = runs_by_host_[worker.facts.instance.host];
        for (const auto& name : names) {
            if (const auto ref = find(name)) {
                move_from_slow_worker(name, *ref, now);
            }
        }
    }
}

// Stops a run on a slow worker if a restart elsewhere is expected to end sooner.
void scheduler::move_from_slow_worker(const task_name& name, const task_ref& ref, time_point now) {
    const auto& measured = ref.state->measured_rate;
    const auto expected = expected_rate(ref);
    if (ref.state->moved || ref.state->stopping || expected <= 0 || !measured.has_measurement() ||
        ref.task->phase != task_phase::assigned || ref.step->long_running) {
        return;
    }
    const auto left = full_percent - measured.percent();
    const auto slow_s =
        to_seconds(std::max(min_slow_time, ref.state->worker->speed.slow_duration(now)));
    const auto slow_progress = measured.current() * slow_s;
    const auto remaining_here = left <= slow_progress ? left / measured.current()
                                                      : slow_s + (left - slow_progress) / expected;
    const auto remaining_elsewhere = (ref.step->checkpoints ? left : full_percent) / expected;
    if (remaining_here < remaining_elsewhere * gain_factor + to_seconds(min_time_saved)) {
        return;
    }
    task_group group{.step = name.step,
                     .spec = ref.step,
                     .tasks = {name.index},
                     .tasks_on_host = {},
                     .excluded_hosts = {}};
    if (place(group, find_candidates(service_for(*ref.job, *ref.step), now), {})) {
        // Only once: if the run is slow again, its estimate is wrong.
        ref.state->moved = true;
        stop_run(name, ref, stop_cause::slow_worker);
    }
}

}  // namespace baobabrack::workload
