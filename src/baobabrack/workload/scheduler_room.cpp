// Room for groups that do not fit: what becomes free, and what is freed for them.
#include <algorithm>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

namespace {

constexpr double whole_percent = 100;
// A stop takes about this long until the end is known here.
constexpr duration stop_time = std::chrono::milliseconds{300};
// A run that saves its work loses about this much of it, in seconds.
constexpr double saved_loss = 0.5;
// A run that has made room before counts as if it lost this much more, in seconds, each time:
// otherwise what has just begun again has always the least to lose, and never ends.
constexpr double repeat_loss = 1.0;
// A job that is not entitled to room may throw away this many times its own work.
constexpr double most_loss_share = 1;

}  // namespace

time_point scheduler::expected_end(const task_ref& ref, time_point now) const {
    if (ref.extra->stopping) {
        return now + stop_time;
    }
    const auto& extra = *ref.extra;
    if (extra.pace.known() && extra.pace.current() > 0) {
        const auto left = (whole_percent - extra.pace.percent()) / extra.pace.current();
        return std::max(now, extra.pace.unchanged_since() + from_seconds(left));
    }
    // A run that is over its time ends at any moment.
    const auto elapsed = now - extra.assigned;
    return std::max(extra.assigned + ref.step->estimated, now + elapsed / 10);
}

capacity_forecast scheduler::view_room(const service_id& service, time_point now) {
    auto left = candidates_of(service, now);
    for (auto& [host, worker] : workers_.all()) {
        worker.position = no_position;
    }
    for (std::size_t at = 0; at < left.size(); ++at) {
        workers_.at(left[at].facts->life.host).position = at;
    }
    std::vector<expected_release> releases;
    for (auto& [id, job] : jobs_) {
        if (job.spec.service != service) {
            continue;
        }
        for_each_task(job, [&](const task_ref& ref) {
            const auto* worker = ref.extra->worker;
            if (worker != nullptr && worker->position != no_position) {
                releases.push_back({.time = expected_end(ref, now),
                                    .host_index = worker->position,
                                    .amount = ref.step->per_task});
            }
        });
    }
    return {std::move(left), std::move(releases)};
}

// Frees room for a group of priority 0 by stopping runs of lower priority. One that its
// workspace's guarantee entitles to the room always gets it; another one only if that throws away
// no more work than it does itself. What is being freed is kept for the group.
bool scheduler::make_room(const waiting_group& waiting, placement_pass& pass,
                          const placement_constraints& limits) {
    const auto& group = waiting.group;
    const auto freed_at = pass.now + stop_time;
    const auto free = pass.room.unreserved_at(freed_at);
    if (auto found = place(group, free, limits)) {
        pass.room.reserve(group, {.time = freed_at, .places = std::move(*found)});
        return true;
    }
    const auto& victims = victims_for(waiting, pass);
    auto plan = find_preemption(group, free, victims, limits);
    const auto own_work = work_per_second(group.spec->per_task) *
                          to_seconds(group.spec->estimated) *
                          static_cast<double>(group.tasks.size());
    if (!plan || (!waiting.entitled && plan->lost_work > own_work * most_loss_share)) {
        return false;
    }
    auto& left = pass.victims.at(waiting.job->spec.priority);
    for (const auto number : plan->victims) {
        stop_victim(left[number]);
        for (const auto& [host, amount] : left[number].allocations) {
            pass.room.add_release({.time = freed_at, .host_index = host, .amount = amount});
        }
    }
    // From the last one on, so that the positions of the others stay.
    for (auto each = plan->victims.rbegin(); each != plan->victims.rend(); ++each) {
        left.erase(left.begin() + static_cast<std::ptrdiff_t>(*each));
    }
    pass.room.reserve(group, {.time = freed_at, .places = std::move(plan->places)});
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
    for (auto& [id, job] : jobs_) {
        if (job.spec.priority <= priority || job.spec.service != waiting.job->spec.service) {
            continue;
        }
        std::map<std::pair<std::uint32_t, std::uint32_t>, victim> gangs;
        for_each_task(job, [&](const task_ref& ref) {
            const auto* worker = ref.extra->worker;
            if (worker == nullptr || worker->position == no_position || ref.extra->stopping) {
                return;
            }
            victim single;
            auto& into =
                ref.step->gang ? gangs[std::pair{ref.occurrence, ref.step_number}] : single;
            into.tasks.push_back(name_of(ref));
            into.allocations.emplace_back(worker->position, ref.step->per_task);
            const auto elapsed = to_seconds(pass.now - ref.extra->assigned);
            const auto saved = ref.step->checkpoints ? std::min(elapsed, saved_loss) : elapsed;
            const auto lost = saved + repeat_loss * ref.extra->preempted;
            into.lost_work += lost * work_per_second(ref.step->per_task);
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

void scheduler::stop_victim(const victim& chosen) {
    for (const auto& name : chosen.tasks) {
        if (const auto ref = find(name)) {
            ++counts_.preempted;
            ++ref->extra->preempted;
            stop(name, *ref, "makes room for a job of priority 0");
        }
    }
}

}  // namespace baobabrack::workload
