#ifndef BAOBABRACK_PLACEMENT_GUARANTEE_PLANNER_HPP
#define BAOBABRACK_PLACEMENT_GUARANTEE_PLANNER_HPP

#include <chrono>
#include <cstdint>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "baobabrack/placement/fleet_index.hpp"
#include "baobabrack/placement/gang_table.hpp"
#include "baobabrack/placement/guarantee_report.hpp"
#include "baobabrack/placement/planner.hpp"
#include "baobabrack/placement/reclaim_plan.hpp"
#include "baobabrack/placement/run_time_model.hpp"
#include "baobabrack/placement/victim_search.hpp"
#include "baobabrack/placement/wait_queue.hpp"
#include "baobabrack/placement/worker_health.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

class directory;

struct guarantee_planner_options {
    /// A gang that waits longer has checkpointable work stopped for it.
    duration aged_after = std::chrono::minutes(30);
    /// A gang that waits longer has any work stopped for it that no guarantee covers.
    duration long_aged_after = std::chrono::hours(6);
    /// Aged gangs that room is made for at the same time.
    std::uint32_t aged_at_once = 2;
    /// How often gangs are looked for that are worth moving.
    duration move_interval = std::chrono::seconds(10);
    /// Gangs that are moved at the same time.
    std::uint32_t moves_at_once = 4;
    /// Room that is not free by then is given up, and looked for anew.
    duration clearing_timeout = std::chrono::seconds(10);
};

/// Starts short work first, keeps every guarantee reclaimable, lets others borrow what is idle,
/// and stops the work that loses least when a guaranteed, urgent or aged gang needs room.
class guarantee_planner final : public planner, private fleet_index_listener {
public:
    /// @param workers and `tickets` outlive the planner
    guarantee_planner(guarantee_planner_options options, fleet& workers, const directory& tickets);

    void job_queued(const planned_job& job) override;
    void gang_started(const planned_job& job, const std::vector<gang_member>& members,
                      time_point at) override;
    void gang_ended(const job_id& job, gang_end how, time_point at) override;
    void job_dropped(const job_id& job) override;
    void directory_changed() override;
    void task_ended(const worker_id& worker, const job_id& job, bool failed,
                    time_point at) override;
    plan decide(time_point now) override;
    void start_failed(const job_id& job, const worker_id& culprit, time_point at) override;
    std::optional<wait_report> explain(const job_id& job, time_point now) const override;

    /// @return how much of each of the workspace's guarantees is free, in use or borrowed
    std::vector<guarantee_report> report(const workspace_id& workspace) const;

    /// @return guarantees that no place is left for
    std::vector<shortfall> shortfalls() const { return plan_.shortfalls(); }

    /// @return workers that get no work because they fail it
    const worker_health& health() const { return health_; }

private:
    /// A job that waits for a place to be cleared.
    struct clearing {
        planned_job job;
        std::vector<slot_share> place;
        std::vector<held_share> held;
        std::optional<reclaim_plan::promise_index> promise;
        bool aged = false;
        time_point since{};
    };

    void slot_joined(worker_slot slot) override;
    void slot_left(worker_slot slot) override;
    void slot_changed(worker_slot slot) override;

    void refresh_open();
    void refresh_kept();
    void settle(time_point now);
    void release_quarantined(time_point now);
    void serve_clearings(plan& decided, time_point now);
    void serve_promises(plan& decided, time_point now);
    bool serve_workspace(const workspace_id& workspace, plan& decided, time_point now);
    bool serve_promise(reclaim_plan::promise_index index, const waiting_job& waiting, plan& decided,
                       time_point now);
    bool reclaim(reclaim_plan::promise_index index, const waiting_job& waiting, plan& decided,
                 time_point now);
    void serve_groups(plan& decided);
    bool serve_head(wait_queue::group& group, plan& decided);
    std::optional<std::vector<slot_share>> open_place(const place_query& query) const;
    void serve_urgent(plan& decided, time_point now);
    void serve_aged(plan& decided, time_point now);
    void serve_moves(plan& decided, time_point now);
    void move_from(worker_slot slot, plan& decided, time_point now);
    bool try_move(gang_table::gang_index index, worker_slot from, plan& decided, time_point now);
    bool is_movable(const active_gang& gang) const;
    /// @return accelerators kept together by a move; nothing if it makes matters no better
    std::uint32_t gathered(worker_slot from, worker_slot to, std::uint32_t accelerators) const;
    void drop_move(const job_id& job);

    std::optional<std::vector<slot_share>> within_footprint(const promise& promised,
                                                            const place_query& query) const;
    void start(const waiting_job& waiting, const std::vector<slot_share>& place,
               std::optional<reclaim_plan::promise_index> promise, bool firm, plan& decided);
    void clear(const waiting_job& waiting, const cleared_place& cleared,
               std::optional<reclaim_plan::promise_index> promise, bool aged, plan& decided,
               time_point now);
    active_gang& begin(planned_job job, std::vector<held_share> held,
                       std::optional<reclaim_plan::promise_index> promise, bool firm,
                       plan& decided);
    void drop_clearing(const job_id& job);
    void drop_gang(gang_table::gang_index index);
    void give_back_firm(active_gang& gang);
    void make_room_in_plan(time_point now);
    bool above_quota(const planned_job& job) const;
    std::uint32_t quota_of(const workspace_id& workspace) const;
    void hold_less(const workspace_id& workspace, std::uint32_t accelerators);
    double rank_of(const planned_job& job) const;
    std::vector<slot_share> present(const std::vector<held_share>& members) const;

    guarantee_planner_options options_;
    const directory& tickets_;
    fleet_index index_;
    reclaim_plan plan_;
    /// What is available and unpromised on each worker.
    capacity_view open_;
    /// The part of `open_` that free accelerators do not need: processors and memory only.
    capacity_view spare_;
    gang_table gangs_;
    victim_search victims_;
    wait_queue queue_;
    run_time_model run_times_;
    worker_health health_;
    std::unordered_map<job_id, clearing> clearings_;
    /// Gangs that are stopped to start again in a place held for them.
    std::unordered_map<job_id, clearing> moves_;
    std::size_t move_cursor_ = 0;
    time_point next_moves_{};
    std::unordered_map<workspace_id, std::uint32_t> held_accelerators_;
    std::unordered_map<workspace_id, std::string> guarantees_in_force_;
    std::set<workspace_id> to_serve_;
    std::vector<planned_refusal> refusals_;
    std::vector<worker_slot> changed_;
    kept_sizes kept_;
    bool unsettled_ = false;
    bool capacity_freed_ = true;
};

}  // namespace baobabrack

#endif
