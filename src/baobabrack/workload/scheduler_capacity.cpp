// Capacity for groups that do not fit now: forecast of free capacity, and preemption.
#include <algorithm>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

namespace {

constexpr double full_percent = 100;
// Work in seconds that a run with checkpoints loses when it is stopped.
constexpr double checkpoint_loss = 0.5;
// Added to the lost work, in seconds, for each earlier preemption of the task. Without it, a task
// that has just been restarted always has the least work to lose, is preempted again and never
// ends.
constexpr double repeat_loss = 1.0;
// A job that is not entitled to preempt may discard this share of its own work. What is discarded
// has to run again, and delays work that waits behind it.
constexpr double max_loss_ratio = 0.5;

// Returns the position of a worker among the candidates of one placement pass, or nothing. The
// stored index may be that of another pass.
std::optional<std::size_t> position_of(const worker_state* worker, const candidates& hosts) {
    const auto index = worker == nullptr ? hosts.size() : worker->candidate_index;
    return index < hosts.size() && hosts[index].facts == &worker->facts ? std::optional{index}
                                                                        : std::nullopt;
}

}  // namespace

// Returns nothing for a run that lasts until its job is cancelled.
std::optional<time_point> scheduler::expected_end(const task_ref& ref, time_point now) const {
    if (ref.state->stopping) {
        return std::max(now, ref.state->stopping_since + options_.stop_delay);
    }
    if (ref.step->long_running) {
        return std::nullopt;
    }
    const auto& state = *ref.state;
    if (state.measured_rate.has_measurement() && state.measured_rate.current() > 0) {
        const auto left =
            (full_percent - state.measured_rate.percent()) / state.measured_rate.current();
        return std::max(now, state.measured_rate.unchanged_since() + from_seconds(left));
    }
    // A run past its estimate may end at any moment; another tenth of its elapsed time is assumed.
    const auto elapsed = now - state.assigned_at;
    return std::max(state.assigned_at + ref.step->estimated, now + elapsed / 10);
}

capacity_forecast scheduler::forecast_capacity(const service_id& service, time_point now) {
    auto left = find_candidates(service, now);
    for (std::size_t at = 0; at < left.size(); ++at) {
        workers_.find_or_add(left[at].facts->instance.host).candidate_index = at;
    }
    std::vector<expected_release> releases;
    for (auto& [id, job] : jobs_) {
        for_each_task(job, [&](const task_ref& ref) {
            const auto position = position_of(ref.state->worker, left);
            if (ref.state->stopping && ref.state->stopping_since == time_point{}) {
                ref.state->stopping_since = now;
            }
            const auto end = position ? expected_end(ref, now) : std::nullopt;
            if (end) {
                releases.push_back({.time = *end,
                                    .host_index = *position,
                                    .amount = ref.step->per_task,
                                    .stopping = ref.state->stopping});
            }
        });
    }
    return {std::move(left), std::move(releases)};
}

// Preempts runs of lower priority for a group of priority 0 and reserves the freed capacity for it.
// Always does so for a group within its workspace's guarantee, which may also reclaim accelerators
// that other workspaces use beyond theirs; for other groups only if the lost work is small against
// that of the group.
bool scheduler::preempt_for(const waiting_group& waiting, placement_pass& pass,
                            const placement_constraints& limits) {
    const auto& group = waiting.group;
    const auto freed_at = pass.now + options_.stop_delay;
    // A run past its expected end always seems to be about to end, so a guarantee relies on none.
    const auto free = is_guarantee_due(waiting, pass.now) ? pass.forecast.unreserved_after_stops()
                                                          : pass.forecast.unreserved_at(freed_at);
    if (auto found = place(group, free, limits)) {
        pass.forecast.reserve(group, {.time = freed_at, .places = std::move(*found)});
        return true;
    }
    const auto& victims = victims_for(waiting, pass);
    auto plan = find_preemption(group, free, victims, limits, victim_choice::lower_priority);
    if (!plan && waiting.entitled) {
        plan = find_preemption(group, free, victims, limits,
                               victim_choice::lower_priority_or_borrowing);
    }
    const auto own_work = work_per_second(group.spec->per_task) *
                          to_seconds(group.spec->estimated) *
                          static_cast<double>(group.tasks.size());
    if (!plan || (!waiting.entitled && plan->lost_work > own_work * max_loss_ratio)) {
        return false;
    }
    auto& left = pass.victims.at(waiting.job->spec.priority);
    for (const auto index : plan->victims) {
        stop_victim(left[index]);
        for (const auto& [host, amount] : left[index].allocations) {
            pass.forecast.add_release(
                {.time = freed_at, .host_index = host, .amount = amount, .stopping = true});
        }
    }
    // Erases from the back, so that the remaining indices stay valid.
    for (auto last = plan->victims.rbegin(); last != plan->victims.rend(); ++last) {
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(*last));
    }
    pass.forecast.reserve(group, {.time = freed_at, .places = std::move(plan->places)});
    return true;
}

const std::vector<victim>& scheduler::victims_for(const waiting_group& waiting,
                                                  placement_pass& pass) {
    const auto priority = waiting.job->spec.priority;
    const auto [known, added] = pass.victims.try_emplace(priority);
    auto& victims = known->second;
    if (!added) {
        return victims;
    }
    const auto borrowing = find_borrowing_runs(*pass.guarantees, pass.now);
    for (auto& entry : jobs_) {
        auto& job = entry.second;
        if (job.spec.priority < priority) {
            continue;
        }
        std::map<std::pair<std::uint32_t, std::uint32_t>, victim> gangs;
        for_each_task(job, [&](const task_ref& ref) {
            const auto position = position_of(ref.state->worker, pass.forecast.available());
            if (!position || pass.forecast.available()[*position].closed || ref.state->stopping) {
                return;
            }
            const auto name = name_of(ref);
            const bool borrows = job.spec.priority == priority;
            if (borrows && !borrowing.contains(name)) {
                return;
            }
            victim single;
            auto& into =
                ref.step->gang ? gangs[std::pair{ref.occurrence, ref.step_number}] : single;
            into.tasks.push_back(name);
            into.allocations.emplace_back(*position, ref.step->per_task);
            into.lost_work += lost_work_of(ref, pass.now);
            into.borrowing = borrows;
            if (!ref.step->gang) {
                victims.push_back(std::move(single));
            }
        });
        for (auto& [step, gang] : gangs) {
            victims.push_back(std::move(gang));
        }
    }
    return victims;
}

// Returns the work that is lost by stopping a run, in processor-seconds.
double scheduler::lost_work_of(const task_ref& ref, time_point now) const {
    const auto elapsed = to_seconds(now - ref.state->assigned_at);
    const auto unsaved_work = ref.step->checkpoints ? std::min(elapsed, checkpoint_loss) : elapsed;
    const auto lost = unsaved_work + repeat_loss * ref.state->preemption_count;
    return lost * work_per_second(ref.step->per_task);
}

// Returns the runs of priority 0, in all services, that use accelerators beyond the guarantee of
// their workspace. Runs that are being stopped give theirs back.
std::set<task_name> scheduler::find_borrowing_runs(const guarantee_uses& uses, time_point now) {
    std::vector<run_unit> units;
    for (auto& entry : jobs_) {
        auto& job = entry.second;
        const auto use = uses.find(job.workspace);
        if (job.spec.priority != 0 || (use != uses.end() && use->second.is_within())) {
            continue;
        }
        std::map<std::pair<std::uint32_t, std::uint32_t>, run_unit> gangs;
        for_each_task(job, [&](const task_ref& ref) {
            if (ref.task->phase != task_phase::assigned || ref.state->stopping) {
                return;
            }
            run_unit single;
            auto& into =
                ref.step->gang ? gangs[std::pair{ref.occurrence, ref.step_number}] : single;
            into.workspace = job.workspace;
            into.tasks.push_back(name_of(ref));
            into.accelerators += ref.step->per_task.accelerators.get();
            into.lost_work += lost_work_of(ref, now);
            if (!ref.step->gang) {
                units.push_back(std::move(single));
            }
        });
        for (auto& [step, gang] : gangs) {
            units.push_back(std::move(gang));
        }
    }
    std::set<task_name> runs;
    for (const auto& unit : find_borrowing_units(units, uses)) {
        runs.insert(unit.tasks.begin(), unit.tasks.end());
    }
    return runs;
}

void scheduler::stop_victim(const victim& chosen) {
    for (const auto& name : chosen.tasks) {
        if (const auto ref = find(name)) {
            ++counts_.preempted;
            ++ref->state->preemption_count;
            stop_run(name, *ref, chosen.borrowing ? stop_cause::reclaimed : stop_cause::preempted);
        }
    }
}

}  // namespace baobabrack::workload
