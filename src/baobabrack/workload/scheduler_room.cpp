// Room for groups that do not fit: what becomes free, and what is freed for them.
#include <algorithm>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

namespace {

constexpr std::uint32_t whole_percent = 100;
// Below this much progress the estimate tells more than the progress.
constexpr std::uint32_t telling_percent = 10;
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
    const auto elapsed = now - ref.extra->assigned;
    auto whole = ref.step->estimated;
    if (ref.extra->percent >= telling_percent) {
        whole = std::chrono::duration_cast<duration>(
            (ref.extra->percent_since - ref.extra->assigned) *
            (static_cast<double>(whole_percent) / ref.extra->percent));
    }
    // A run that is over its time ends at any moment.
    return std::max(ref.extra->assigned + whole, now + elapsed / 10);
}

room_view scheduler::view_room(const service_id& service, time_point now) {
    room_view room{.left = candidates_of(service, now), .releases = {}, .reserved = {}};
    for (auto& [id, job] : jobs_) {
        if (job.spec.service != service) {
            continue;
        }
        for_each_task(job, [&](const task_name&, const task_ref& ref) {
            if (ref.task->phase == task_phase::assigned) {
                room.releases.push_back({.at = expected_end(ref, now),
                                         .host = ref.task->place.host,
                                         .amount = ref.step->per_task});
            }
        });
    }
    std::sort(room.releases.begin(), room.releases.end(),
              [](const expected_release& left, const expected_release& right) {
                  return left.at < right.at;
              });
    return room;
}

// Frees room for a group of priority 0 by stopping runs of lower priority. One that its
// workspace's guarantee entitles to the room always gets it; another one only if that throws away
// no more work than it does itself. What is being freed is kept for the group.
bool scheduler::make_room(const waiting_group& waiting, room_view& room, time_point now,
                          const placement_limits& limits) {
    const auto& group = waiting.group;
    auto free = room.left;
    for (auto& host : free) {
        const auto kept = room.reserved.find(host.host);
        if (kept != room.reserved.end()) {
            host.left = left_of(host.left, kept->second.amount);
        }
    }
    for (const auto& release : room.releases) {
        for (auto& host : free) {
            if (host.host == release.host && release.at <= now + stop_time) {
                host.left.add(release.amount);
            }
        }
    }
    auto found = place(group, free, limits);
    if (found) {
        room.reserve(group, {.at = now + stop_time, .places = std::move(*found)});
        return true;
    }
    const auto victims = victims_below(waiting.job->spec.priority, waiting.job->spec.service, now);
    auto plan = find_preemption(group, free, victims, limits);
    const auto own_work = work_per_second(group.spec->per_task) *
                          to_seconds(group.spec->estimated) *
                          static_cast<double>(group.tasks.size());
    if (!plan || (!waiting.entitled && plan->loss > own_work * most_loss_share)) {
        return false;
    }
    for (const auto& one : plan->victims) {
        stop_victim(one);
    }
    room.reserve(group, {.at = now + stop_time, .places = std::move(plan->places)});
    return true;
}

std::vector<victim> scheduler::victims_below(std::uint32_t priority, const service_id& service,
                                             time_point now) {
    std::vector<victim> victims;
    for (auto& [id, job] : jobs_) {
        if (job.spec.priority <= priority || job.spec.service != service) {
            continue;
        }
        std::map<step_name, victim> gangs;
        for_each_task(job, [&](const task_name& name, const task_ref& ref) {
            if (ref.task->phase != task_phase::assigned || ref.extra->stopping) {
                return;
            }
            victim single;
            auto& into = ref.step->gang ? gangs[name.step] : single;
            into.tasks.push_back(name);
            into.held[ref.task->place.host].add(ref.step->per_task);
            const auto elapsed = to_seconds(now - ref.extra->assigned);
            const auto saved = ref.step->checkpoints ? std::min(elapsed, saved_loss) : elapsed;
            const auto lost = saved + repeat_loss * ref.extra->preempted;
            into.loss += lost * work_per_second(ref.step->per_task);
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
