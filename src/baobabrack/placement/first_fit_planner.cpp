#include "baobabrack/placement/first_fit_planner.hpp"

#include <iterator>

#include "baobabrack/placement/job_refusal.hpp"

namespace baobabrack {

first_fit_planner::first_fit_planner(first_fit_options options, fleet& workers)
    : options_(options), index_(workers) {
}

void first_fit_planner::job_queued(const planned_job& job) {
    job_dropped(job.id);
    position_.emplace(job.id, next_);
    queue_.emplace(next_, job);
    ++next_;
}

void first_fit_planner::end_hold(const job_id& job) {
    const auto found = starting_.find(job);
    if (found == starting_.end()) {
        return;
    }
    index_.release(found->second.held, query_of(found->second.job).unit, false);
    starting_.erase(found);
}

void first_fit_planner::job_dropped(const job_id& job) {
    end_hold(job);
    const auto found = position_.find(job);
    if (found == position_.end()) {
        return;
    }
    queue_.erase(found->second);
    position_.erase(found);
}

void first_fit_planner::gang_started(const planned_job& job, const std::vector<gang_member>&,
                                     time_point) {
    job_dropped(job.id);
}

void first_fit_planner::gang_ended(const job_id&, gang_end, time_point) {
}

void first_fit_planner::set_barred(const worker_id& worker, bool barred) {
    const auto slot = index_.places().find(worker);
    if (slot != topology::no_slot) {
        index_.set_barred(slot, barred);
    }
}

void first_fit_planner::task_ended(const worker_id& worker, const job_id& job, bool failed,
                                   time_point at) {
    if (!options_.quarantine) {
        return;
    }
    if (const auto barred = health_.task_ended(worker, job, failed, at)) {
        set_barred(*barred, true);
    }
}

void first_fit_planner::start_failed(const job_id& job, const worker_id&, time_point) {
    const auto found = starting_.find(job);
    if (found != starting_.end()) {
        const auto waits_again = found->second.job;
        job_queued(waits_again);
    }
}

bool first_fit_planner::start_head(plan& decided) {
    const auto head = queue_.begin();
    const auto job = head->second;
    const auto query = query_of(job);
    if (auto refused = refuse_if_never(index_.capacity(), job)) {
        decided.refusals.push_back(std::move(*refused));
    } else if (const auto place = find_place(index_.available(), query, fit_rule::first)) {
        decided.starts.push_back({job.id, index_.to_members(*place)});
        starting_.emplace(job.id, starting_gang{job, index_.hold(*place, query.unit)});
    } else {
        return false;
    }
    position_.erase(job.id);
    queue_.erase(head);
    return true;
}

plan first_fit_planner::decide(time_point now) {
    plan decided;
    for (const auto& worker : health_.released(now)) {
        set_barred(worker, false);
    }
    while (!queue_.empty() && start_head(decided)) {
    }
    return decided;
}

std::optional<wait_report> first_fit_planner::explain(const job_id& job, time_point) const {
    const auto found = position_.find(job);
    if (found == position_.end()) {
        return std::nullopt;
    }
    const auto place = queue_.find(found->second);
    const auto before = std::distance(queue_.begin(), place);
    wait_report report;
    report.position = static_cast<std::uint32_t>(before) + 1;
    report.waits_for = before == 0 ? "room for " + describe(query_of(place->second))
                                   : "job " + queue_.begin()->second.id.get() + " to start first";
    report.remedy = "wait, or cancel jobs that are ahead";
    return report;
}

}  // namespace baobabrack
