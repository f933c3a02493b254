// Explains in the log why jobs wait.
#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "baobabrack/units/seconds.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::workload {

namespace {

// Jobs that wait for less than this are not reported.
constexpr duration min_reported_wait = std::chrono::seconds{1};
// The same job is reported at most this often, and few jobs in each pass, so that the volume stays
// bounded when many jobs wait.
constexpr duration report_interval = std::chrono::seconds{5};
constexpr std::size_t max_reports_per_pass = 3;

}  // namespace

std::string_view scheduler::exclusion_reason(const worker_state& worker, time_point now) {
    if (worker.facts.draining) {
        return "draining";
    }
    if (worker.expired || !worker.responding || now > worker.last_heard + options_.silence_limit) {
        return "silent";
    }
    if (worker.has_orphaned_runs) {
        return "orphaned runs";
    }
    if (worker.capacity_outdated) {
        return "capacity outdated";
    }
    if (is_evacuated(worker)) {
        return "evacuated";
    }
    const auto health = worker.history.health(now);
    if (health == worker_health::unhealthy) {
        return "unhealthy";
    }
    if (health == worker_health::probation && has_test_run(worker)) {
        return "tested on probation";
    }
    return {};
}

// Logs each change of a worker's health once.
void scheduler::report_health(time_point now) {
    for (auto& [host, worker] : workers_.all()) {
        const auto health = worker.history.health(now);
        if (std::exchange(worker.reported_health, health) != health) {
            add_decision_event("worker-health", {}, {}, host,
                               std::string{to_string(health)} + "; " + worker.history.describe());
        }
    }
}

void scheduler::report_waiting(const std::vector<waiting_group>& groups,
                               const std::map<service_id, placement_pass>& passes, time_point now) {
    std::size_t reports = 0;
    for (const auto& waiting : groups) {
        auto& job = *waiting.job;
        const bool due = !waiting.group.tasks.empty() && now - job.added_at >= min_reported_wait &&
                         now - job.wait_reported_at >= report_interval;
        if (!due || reports == max_reports_per_pass) {
            continue;
        }
        const auto& service = service_for(job, *waiting.group.spec);
        const auto pass = passes.find(service);
        if (pass == passes.end()) {
            continue;
        }
        ++reports;
        job.wait_reported_at = now;
        add_decision_event("job-waiting", {.step = {.job = job.spec.id}}, {}, {},
                           waiting_reason(waiting, pass->second, service));
        explain_wait(waiting, pass->second, service);
    }
}

// Adds the cause of the wait to the last decision event.
void scheduler::explain_wait(const waiting_group& waiting, const placement_pass& pass,
                             const service_id& service) {
    candidates excluded;
    std::map<std::string_view, unsigned> reasons;
    for (const auto& [host, worker] : workers_.all()) {
        const auto reason = exclusion_reason(worker, pass.now);
        if (worker.facts.service == service && !reason.empty()) {
            excluded.push_back(make_candidate(worker.facts, worker.used));
            ++reasons[reason];
        }
    }
    auto& event = decision_events_.back();
    event.waits_for = find_wait_cause(waiting.group, pass.forecast.available(), excluded);
    if (event.waits_for == wait_cause::excluded) {
        event.excluded_as = std::max_element(reasons.begin(), reasons.end(),
                                             [](const auto& left, const auto& right) {
                                                 return left.second < right.second;
                                             })
                                ->first;
    }
}

std::string scheduler::waiting_reason(const waiting_group& waiting, const placement_pass& pass,
                                      const service_id& service) {
    const auto& group = waiting.group;
    std::string text = "step " + std::to_string(group.step.step) + ", " +
                       std::to_string(group.tasks.size()) +
                       (group.spec->gang ? " tasks of a gang" : " tasks") +
                       (waiting.entitled ? ", guaranteed" : "");
    const auto& hosts = pass.forecast.available();
    const bool has_room = group.spec->gang ? place(group, hosts, {}).has_value()
                                           : !place_partial(group, hosts, {}).empty();
    if (has_room) {
        text += "; there is room on hosts that are reserved for " +
                pass.forecast.describe_reservations(pass.now);
    } else {
        text += "; no room on " + std::to_string(hosts.size()) + " hosts";
    }
    if (const auto victims = pass.victims.find(waiting.job->spec.priority);
        victims != pass.victims.end()) {
        text += "; runs that may be preempted: " + std::to_string(victims->second.size());
    }
    std::map<std::string_view, unsigned> excluded;
    for (const auto& [host, worker] : workers_.all()) {
        const auto reason = exclusion_reason(worker, pass.now);
        if (worker.facts.service == service && !reason.empty()) {
            ++excluded[reason];
        }
    }
    for (const auto& [reason, count] : excluded) {
        text += "; hosts left out as " + std::string{reason} + ": " + std::to_string(count);
    }
    return text;
}

}  // namespace baobabrack::workload
