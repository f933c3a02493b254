#include "baobabrack/placement/guarantee_planner.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "baobabrack/placement/job_refusal.hpp"
#include "baobabrack/world/directory.hpp"

namespace baobabrack {

namespace {

constexpr double processor_weight = 0.05;
/// Accelerators from which on room is kept for a waiting gang's shape.
constexpr std::uint32_t large_gang = 8;

std::string serialized(const wire::Workspace& workspace) {
    wire::Workspace guarantees_only;
    if (!workspace.removed()) {
        *guarantees_only.mutable_guarantees() = workspace.guarantees();
    }
    return guarantees_only.SerializeAsString();
}

std::vector<wire::Guarantee> guarantees_of(const wire::Workspace& workspace) {
    if (workspace.removed()) {
        return {};
    }
    return {workspace.guarantees().begin(), workspace.guarantees().end()};
}

/// Takes away what the free accelerators need, each up to a share of its part of the worker.
resources spare_of(const resources& free, const resources& capacity) {
    constexpr std::uint64_t share_numerator = 3;
    constexpr std::uint64_t share_denominator = 4;
    const std::uint64_t accelerators = capacity.accelerators.get();
    if (accelerators == 0) {
        return free;
    }
    const auto needed = [&](std::uint64_t whole) {
        return static_cast<std::uint32_t>(whole * free.accelerators.get() * share_numerator /
                                          (accelerators * share_denominator));
    };
    return less(free, {.cpu = cpu_millicores{needed(capacity.cpu.get())},
                       .memory = memory_mib{needed(capacity.memory.get())},
                       .accelerators = free.accelerators});
}

planned_refusal refuse_failing(const job_id& job) {
    planned_refusal refusal;
    refusal.job = job;
    refusal.reason = "the job has failed on several workers that run other jobs";
    refusal.remedy = "mend the job, then submit it anew";
    return refusal;
}

}  // namespace

guarantee_planner::guarantee_planner(guarantee_planner_options options, fleet& workers,
                                     const directory& tickets)
    : options_(options),
      tickets_(tickets),
      index_(workers),
      plan_(index_.places()),
      open_(index_.places()),
      spare_(index_.places()),
      victims_(index_, gangs_) {
    index_.set_listener(*this);
    for (worker_slot slot = 0; slot < index_.places().slot_count(); ++slot) {
        guarantee_planner::slot_joined(slot);
    }
    guarantee_planner::directory_changed();
}

void guarantee_planner::slot_joined(worker_slot slot) {
    const bool barred = health_.is_quarantined(index_.places().slot(slot).id);
    plan_.set_capacity(slot, barred ? resources{} : index_.capacity().at(slot));
    if (barred) {
        index_.set_barred(slot, true);
    }
    changed_.push_back(slot);
    unsettled_ = true;
    capacity_freed_ = true;
}

void guarantee_planner::slot_left(worker_slot slot) {
    plan_.remove(slot);
    open_.set(slot, {});
    spare_.set(slot, {});
    health_.forget(index_.places().slot(slot).id);
    unsettled_ = true;
}

void guarantee_planner::slot_changed(worker_slot slot) {
    changed_.push_back(slot);
}

void guarantee_planner::refresh_open() {
    const auto replanned = plan_.take_changed();
    changed_.insert(changed_.end(), replanned.begin(), replanned.end());
    for (const auto slot : changed_) {
        if (!index_.places().slot(slot).present) {
            continue;
        }
        const auto before = open_.at(slot);
        const auto after = least_of(index_.available().at(slot), plan_.unpromised().at(slot));
        capacity_freed_ = capacity_freed_ || !before.can_fit(after);
        open_.set(slot, after);
        const auto spare = spare_of(index_.available().at(slot), index_.capacity().at(slot));
        spare_.set(slot, least_of(spare, after));
    }
    changed_.clear();
}

double guarantee_planner::rank_of(const planned_job& job) const {
    if (job.urgent) {
        return 0;
    }
    const auto accelerators = static_cast<double>(query_of(job).accelerators());
    return run_times_.expected_remaining(job, job.saved) * std::max(accelerators, processor_weight);
}

std::uint32_t guarantee_planner::quota_of(const workspace_id& workspace) const {
    const auto* known = tickets_.find_workspace(workspace);
    return known == nullptr ? 0 : known->accelerator_quota();
}

bool guarantee_planner::above_quota(const planned_job& job) const {
    const auto quota = quota_of(job.workspace);
    if (quota == 0) {
        return false;
    }
    const auto found = held_accelerators_.find(job.workspace);
    const auto held = found == held_accelerators_.end() ? 0 : found->second;
    return held + query_of(job).accelerators() > quota;
}

void guarantee_planner::hold_less(const workspace_id& workspace, std::uint32_t accelerators) {
    auto& held = held_accelerators_[workspace];
    held -= std::min(held, accelerators);
    const auto quota = quota_of(workspace);
    const auto room = quota == 0 ? ~std::uint32_t{0} : quota - std::min(quota, held);
    queue_.unpark(workspace, room);
    to_serve_.insert(workspace);
    capacity_freed_ = true;
}

std::vector<slot_share> guarantee_planner::present(const std::vector<held_share>& members) const {
    std::vector<slot_share> shares;
    for (const auto& member : members) {
        if (index_.is_present(member)) {
            shares.push_back({member.slot, member.count});
        }
    }
    return shares;
}

void guarantee_planner::give_back_firm(active_gang& gang) {
    if (gang.firm) {
        plan_.give_back(present(gang.members), gang.query.unit);
        gang.firm = false;
    }
}

void guarantee_planner::drop_gang(gang_table::gang_index index) {
    auto& gang = gangs_.at(index);
    const auto workspace = gang.job.workspace;
    const auto accelerators = gang.query.accelerators();
    give_back_firm(gang);
    if (gang.starting) {
        index_.release(gang.members, gang.query.unit, true);
    }
    if (gang.promise && plan_.at(*gang.promise).occupant == gang.job.id) {
        plan_.set_occupant(*gang.promise, std::nullopt);
    }
    gangs_.remove(index);
    hold_less(workspace, accelerators);
}

void guarantee_planner::drop_clearing(const job_id& job) {
    const auto found = clearings_.find(job);
    if (found == clearings_.end()) {
        return;
    }
    const auto gone = std::move(found->second);
    clearings_.erase(found);
    const auto query = query_of(gone.job);
    index_.release(gone.held, query.unit, false);
    if (gone.promise && plan_.at(*gone.promise).occupant == job) {
        plan_.set_occupant(*gone.promise, std::nullopt);
    }
    hold_less(gone.job.workspace, query.accelerators());
}

void guarantee_planner::job_queued(const planned_job& job) {
    if (const auto moved = moves_.find(job.id); moved != moves_.end()) {
        auto arriving = std::move(moved->second);
        moves_.erase(moved);
        arriving.job = job;
        held_accelerators_[job.workspace] += query_of(job).accelerators();
        clearings_.emplace(job.id, std::move(arriving));
        return;
    }
    job_dropped(job.id);
    // A place that has existed may come back, as when a rack is down for a while.
    if (auto refused = refuse_if_never(index_.capacity(), job); refused && !job.has_run) {
        refusals_.push_back(std::move(*refused));
        return;
    }
    if (auto refused = refuse_above_quota(quota_of(job.workspace), job)) {
        refusals_.push_back(std::move(*refused));
        return;
    }
    if (health_.is_at_fault(job.id)) {
        refusals_.push_back(refuse_failing(job.id));
        health_.forget(job.id);
        return;
    }
    queue_.add(job, rank_of(job));
    to_serve_.insert(job.workspace);
}

void guarantee_planner::job_dropped(const job_id& job) {
    drop_move(job);
    queue_.remove(job);
    drop_clearing(job);
    if (const auto index = gangs_.find(job); index && gangs_.at(*index).starting) {
        drop_gang(*index);
    }
}

void guarantee_planner::gang_started(const planned_job& job,
                                     const std::vector<gang_member>& members, time_point at) {
    const auto known = gangs_.find(job.id);
    if (known && gangs_.at(*known).starting) {
        auto& gang = gangs_.at(*known);
        index_.release(gang.members, gang.query.unit, true);
        gang.starting = false;
        gang.started = at;
        gang.job = job;
        return;
    }
    job_dropped(job.id);
    active_gang gang;
    gang.job = job;
    gang.query = query_of(job);
    gang.members = index_.to_shares(members);
    gang.started = at;
    held_accelerators_[job.workspace] += gang.query.accelerators();
    gangs_.add(std::move(gang));
}

void guarantee_planner::gang_ended(const job_id& job, gang_end how, time_point at) {
    const auto index = gangs_.find(job);
    if (!index) {
        return;
    }
    const auto& gang = gangs_.at(*index);
    if (how == gang_end::finished) {
        run_times_.learn(gang.job, gang.attained(at));
    }
    if (how != gang_end::preempted) {
        drop_move(job);
    }
    if (how == gang_end::finished || how == gang_end::cancelled) {
        health_.forget(job);
    }
    drop_gang(*index);
}

void guarantee_planner::start_failed(const job_id& job, const worker_id&, time_point) {
    const auto index = gangs_.find(job);
    if (index && gangs_.at(*index).starting) {
        const auto waits_again = gangs_.at(*index).job;
        drop_gang(*index);
        job_queued(waits_again);
    }
}

void guarantee_planner::task_ended(const worker_id& worker, const job_id& job, bool failed,
                                   time_point at) {
    const auto barred = health_.task_ended(worker, job, failed, at);
    if (!barred) {
        return;
    }
    const auto slot = index_.places().find(*barred);
    if (slot != topology::no_slot) {
        index_.set_barred(slot, true);
        plan_.set_capacity(slot, {});
        unsettled_ = true;
    }
}

void guarantee_planner::directory_changed() {
    for (const auto& [id, kept] : tickets_.workspaces()) {
        auto promised = serialized(kept.object);
        auto& known = guarantees_in_force_[workspace_id{id}];
        if (known == promised) {
            continue;
        }
        known = std::move(promised);
        plan_.set_promises(workspace_id{id}, guarantees_of(kept.object));
        to_serve_.insert(workspace_id{id});
        unsettled_ = true;
    }
    refresh_kept();
}

void guarantee_planner::refresh_kept() {
    kept_.free = &index_.available();
    kept_.on_worker.clear();
    kept_.on_rack.clear();
    const auto keep = [&](const place_query& query) {
        auto& sizes = query.adjacency == wire::ADJACENCY_WORKER ? kept_.on_worker : kept_.on_rack;
        const bool known =
            std::find(sizes.begin(), sizes.end(), query.accelerators()) != sizes.end();
        if (query.accelerators() > 1 && query.adjacency <= wire::ADJACENCY_RACK && !known) {
            sizes.push_back(query.accelerators());
        }
    };
    for (const auto& one : plan_.promises()) {
        if (one.in_force) {
            keep(one.query);
        }
    }
    for (const auto& group : queue_.groups()) {
        if (!group.jobs.empty() && group.query.accelerators() >= large_gang) {
            keep(group.query);
        }
    }
}

std::vector<guarantee_report> guarantee_planner::report(const workspace_id& workspace) const {
    std::vector<guarantee_report> reports;
    for (const auto index : plan_.promises_of(workspace)) {
        const auto& one = plan_.at(index);
        auto same = std::find_if(reports.begin(), reports.end(), [&](const auto& known) {
            return known.query == one.query && known.notice == one.notice;
        });
        if (same == reports.end()) {
            guarantee_report added;
            added.query = one.query;
            added.notice = one.notice;
            same = reports.insert(reports.end(), added);
        }
        ++same->promised;
        if (one.footprint.empty()) {
            ++same->missing;
        } else if (one.occupant) {
            ++same->in_use;
        } else if (within_footprint(one, one.query)) {
            ++same->free;
        } else {
            ++same->borrowed;
        }
    }
    return reports;
}

}  // namespace baobabrack
