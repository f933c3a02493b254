#include "baobabrack/placement/worker_health.hpp"

#include <algorithm>
#include <chrono>

namespace baobabrack {

namespace {

using namespace std::chrono_literals;

constexpr double least_failures = 3;
constexpr double least_failure_rate = 0.5;
constexpr double times_fleet_rate = 4;
constexpr double worker_memory = 0.9;
constexpr double fleet_memory = 0.999;
constexpr std::size_t workers_until_job_fault = 3;
constexpr duration first_quarantine = 10min;
constexpr duration longest_quarantine = 4h;

}  // namespace

double worker_health::fleet_failure_rate() const {
    return fleet_ended_ > 0 ? fleet_failed_ / fleet_ended_ : 0;
}

bool worker_health::is_suspect(const record& one) const {
    if (one.on_probation && one.failed >= 1) {
        return true;
    }
    const auto rate = one.ended > 0 ? one.failed / one.ended : 0;
    const auto bound = std::max(least_failure_rate, times_fleet_rate * fleet_failure_rate());
    return one.failed + 0.5 >= least_failures && rate >= std::min(bound, 0.9);
}

void worker_health::quarantine(const worker_id& worker, record& one, time_point at) {
    one.quarantined = true;
    one.length = one.length == duration::zero() ? first_quarantine
                                                : std::min(one.length * 2, longest_quarantine);
    quarantined_.emplace(at + one.length, worker);
}

void worker_health::excuse(const job_id& job) {
    for (const auto& worker : failures_[job]) {
        const auto found = workers_.find(worker);
        if (found != workers_.end()) {
            found->second.failed = std::max(0.0, found->second.failed - 1);
        }
    }
}

std::optional<worker_id> worker_health::task_ended(const worker_id& worker, const job_id& job,
                                                   bool failed, time_point at) {
    if (failed && is_at_fault(job)) {
        return std::nullopt;
    }
    fleet_ended_ = fleet_ended_ * fleet_memory + 1;
    fleet_failed_ = fleet_failed_ * fleet_memory + (failed ? 1 : 0);
    auto& one = workers_[worker];
    one.ended = one.ended * worker_memory + 1;
    one.failed = one.failed * worker_memory + (failed ? 1 : 0);
    if (!failed) {
        one.on_probation = false;
        return std::nullopt;
    }
    auto& places = failures_[job];
    if (std::find(places.begin(), places.end(), worker) == places.end()) {
        places.push_back(worker);
    }
    if (is_at_fault(job)) {
        excuse(job);
    }
    if (one.quarantined || !is_suspect(one)) {
        return std::nullopt;
    }
    quarantine(worker, one, at);
    return worker;
}

std::vector<worker_id> worker_health::released(time_point now) {
    std::vector<worker_id> back;
    while (!quarantined_.empty() && quarantined_.begin()->first <= now) {
        const auto worker = quarantined_.begin()->second;
        quarantined_.erase(quarantined_.begin());
        auto& one = workers_[worker];
        one.quarantined = false;
        one.on_probation = true;
        one.ended = 0;
        one.failed = 0;
        back.push_back(worker);
    }
    return back;
}

bool worker_health::is_quarantined(const worker_id& worker) const {
    const auto found = workers_.find(worker);
    return found != workers_.end() && found->second.quarantined;
}

bool worker_health::is_at_fault(const job_id& job) const {
    const auto found = failures_.find(job);
    return found != failures_.end() && found->second.size() >= workers_until_job_fault;
}

void worker_health::forget(const job_id& job) {
    failures_.erase(job);
}

void worker_health::forget(const worker_id& worker) {
    if (!is_quarantined(worker)) {
        workers_.erase(worker);
    }
}

}  // namespace baobabrack
