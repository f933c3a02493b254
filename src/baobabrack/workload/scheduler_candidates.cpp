// The workers on which a group may be placed.
#include <algorithm>

#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

namespace {

// How long a job avoids a host where its runs have failed. It is longer than it takes to tell a
// faulty worker from a faulty task.
constexpr duration exclusion_time = std::chrono::seconds{8};

}  // namespace

// Returns whether a worker of the service would have room for a task of the step if it were idle.
bool scheduler::has_worker_for(const step_spec& step, const service_id& service) const {
    const auto& workers = workers_.all();
    return std::any_of(workers.begin(), workers.end(), [&](const auto& entry) {
        const auto& worker = entry.second;
        return worker.facts.service == service && !worker.expired && !worker.facts.draining &&
               can_host(worker.facts, step);
    });
}

// Returns the service whose workers run the step: that of the queue, or the one under which the job
// was accepted if only that has a suitable worker.
const service_id& scheduler::service_for(const open_job& job, const step_spec& step) const {
    const auto& former = job.spec.service;
    const bool stays =
        job.service != former && !has_worker_for(step, job.service) && has_worker_for(step, former);
    return stays ? former : job.service;
}

candidates scheduler::find_candidates(const service_id& service, time_point now) {
    candidates usable_candidates;
    candidates slow_candidates;
    const auto closed_hosts = trial_hosts();
    for (const auto& [host, worker] : workers_.all()) {
        if (worker.facts.service != service || !exclusion_reason(worker, now).empty()) {
            continue;
        }
        const auto health = worker.history.health(now);
        const bool slow_worker = worker.speed.is_slow(now);
        auto& into = slow_worker && !worker.speed.from_gang() ? slow_candidates : usable_candidates;
        auto host_candidate = make_candidate(worker.facts, worker.used);
        host_candidate.degraded = slow_worker || health != worker_health::healthy;
        host_candidate.on_probation = health == worker_health::probation;
        host_candidate.closed = closed_hosts.contains(host);
        into.push_back(host_candidate);
    }
    // If most workers appear slow, the estimates are wrong rather than the workers.
    if (slow_candidates.size() > usable_candidates.size()) {
        usable_candidates.insert(usable_candidates.end(), slow_candidates.begin(),
                                 slow_candidates.end());
    }
    return usable_candidates;
}

// Returns the hosts where runs of the job failed right after their start, since the host may be the
// cause. Excludes at most half of all hosts: if there are few, a possibly faulty host is better
// than none.
std::vector<host_id> scheduler::find_excluded_hosts(const open_job& job, time_point now) const {
    std::vector<host_id> excluded;
    for (const auto& [host, failed_at] : job.quick_failures) {
        if (now - failed_at < exclusion_time && excluded.size() < workers_.all().size() / 2) {
            excluded.push_back(host);
        }
    }
    return excluded;
}

}  // namespace baobabrack::workload
