#ifndef BAOBABRACK_GANGS_WORKER_MONITOR_HPP
#define BAOBABRACK_GANGS_WORKER_MONITOR_HPP

#include <map>
#include <memory>
#include <set>

#include "baobabrack/gangs/gang_context.hpp"
#include "baobabrack/gangs/job.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"
#include "baobabrack/services/worker_service.hpp"
#include "baobabrack/world/fleet.hpp"

namespace baobabrack {

class gang_actions;
class member_reports;
class gang_proposals;
class counter;

/// Exchanges messages with every worker this entry answers for: renews the leases of committed
/// tasks, collects reports, and notices tasks and workers that are lost.
class worker_monitor : public fleet_listener {
public:
    worker_monitor(gang_context& context, member_reports& reports, gang_proposals& proposals,
                   gang_actions& actions);
    ~worker_monitor() override;

    void worker_joined(const worker& joined) override;
    void worker_left(const worker& left) override;
    void worker_changed(const worker& changed, const resources& free_before) override;

    /// Takes in a worker's reply to any call, with the reports in it.
    void hear(const worker_id& worker, const wire::WorkerReply& reply);

private:
    struct watch {
        explicit watch(runtime& loop) : timer(loop) {}

        scoped_timer timer;
        incarnation version;
        time_point last_reply{};
        bool calling = false;
        bool mine = false;
        std::uint64_t heard = 0;
        // Terminal reports that must not be forgotten before their job has moved on.
        std::map<std::uint64_t, wire::TaskKey> unresolved;
    };

    void sync(const worker_id& id);
    void send_sync(const worker_id& id, watch& watched);
    void on_sync(const worker_id& id, incarnation version, const result<wire::WorkerReply>& reply);
    void arm(const worker_id& id, watch& watched, duration delay);
    void add_renewals(const worker_id& id, const watch& watched, wire::SyncWorker& sync) const;
    std::uint64_t acknowledged(watch& watched) const;
    bool is_settled(const wire::TaskKey& key) const;
    void silent(const worker_id& id, const watch& watched);
    void lose_members(const worker_id& id, incarnation version);
    void hear_report(const worker_id& id, const wire::TaskReport& report);
    void act_on(const worker_id& id, const job& gang);
    void poll_later(const job& gang);
    void poll(const job_id& id, attempt_number attempt);
    void look_at_held(const worker_id& id, const watch& watched, const wire::WorkerReply& reply);
    void check_member(const worker_id& id, const job& gang, bool is_held);
    void stop_strays(const worker_id& id, const watch& watched, const wire::WorkerReply& reply);

    gang_context& context_;
    member_reports& reports_;
    gang_proposals& proposals_;
    gang_actions& actions_;
    std::map<worker_id, std::unique_ptr<watch>> watches_;
    std::set<job_id> polled_;
    counter& syncs_;
    counter& renewals_;
    counter& lost_tasks_;
    counter& stray_tasks_;
    counter& silent_workers_;
    // Expires with this object, so that late replies are dropped.
    std::shared_ptr<int> alive_;
};

}  // namespace baobabrack

#endif
