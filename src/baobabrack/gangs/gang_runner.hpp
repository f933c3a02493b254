#ifndef BAOBABRACK_GANGS_GANG_RUNNER_HPP
#define BAOBABRACK_GANGS_GANG_RUNNER_HPP

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "baobabrack/gangs/gang_actions.hpp"
#include "baobabrack/gangs/gang_context.hpp"
#include "baobabrack/gangs/gang_proposals.hpp"
#include "baobabrack/gangs/job_listener.hpp"
#include "baobabrack/gangs/job_view.hpp"
#include "baobabrack/gangs/member_reports.hpp"
#include "baobabrack/gangs/plan_executor.hpp"
#include "baobabrack/gangs/planner_feed.hpp"
#include "baobabrack/gangs/worker_inventory.hpp"
#include "baobabrack/gangs/worker_monitor.hpp"
#include "baobabrack/ledger/replicated_state.hpp"
#include "baobabrack/runtime/scoped_timer.hpp"

namespace baobabrack {

class gang_launch;
class gang_stop;

/// Runs gangs all or none: carries out what the planner decides, follows every attempt from its
/// prepares to its release, and watches the workers. One for each entry.
class gang_runner : public job_listener, public gang_actions {
public:
    /// Position of the record that did it.
    using record_callback = std::function<void(result<record_position>)>;

    /// @param context everything in it outlives the runner
    explicit gang_runner(const gang_context& context);
    ~gang_runner() override;

    /// Puts a job into the log. Idempotent for equal specifications.
    ///
    /// @param patience how long the caller waits
    /// @param done     failures: `conflict` (the id is taken), `invalid`, `unavailable` (not
    ///                 submitted), `timed_out` (it may be)
    void submit(const wire::JobSpec& spec, duration patience, record_callback done);

    /// Cancels a job. Its tasks are stopped even while the log is down; the record then follows.
    ///
    /// @param done failures: `not_found`, `conflict` (it has ended), `unavailable` or `timed_out`
    ///             (not in the log yet; this entry keeps trying)
    void cancel(const job_id& id, const std::string& reason, duration patience,
                record_callback done);

    /// @return what is known of a job; nothing if it is not known
    std::optional<job_view> describe(const job_id& id) const;

    /// Takes in the platform's whole list of workers.
    void inventory_heard(const wire::WorkerList& list) { inventory_.heard(list); }

    /// Tickets have changed the directory.
    void directory_changed();

    /// Plans, and takes over what nobody acts for. The runner calls it by itself at intervals.
    void tick();

    void job_queued(const job& queued) override;
    void gang_committed(const job& committed) override;
    void gang_stopping(const job& stopping) override;
    void gang_released(const job& ended, const std::vector<job_member>& members,
                       wire::StopReason reason) override;
    void job_ended(const job& ended) override;
    void state_loaded() override;

    void stop_gang(const job& gang, wire::StopReason reason) override;
    bool is_stopping(const job_id& id, attempt_number attempt) const override;
    void gang_finished(const job& gang) override;
    duration committed_for(const job& gang) const override;

    const member_reports& reports() const { return reports_; }

private:
    void launch(const job& committed);
    void on_launched(const job_id& id, attempt_number attempt, const worker_id& culprit);
    void cancel_without_log(const job_id& id, const wire::Record& record);
    void begin_stop(const job& target);
    void on_stopped(const job_id& id, attempt_number attempt);
    void record_stopped(const job_id& id, attempt_number attempt);
    worker_id find_culprit(const job& target) const;
    void note_jobs();
    void take_over_soon();
    void take_over();
    void forget(const job_id& id);
    std::string status_of(const job& target) const;

    gang_context context_;
    member_reports reports_;
    gang_proposals proposals_;
    planner_feed feed_;
    worker_monitor monitor_;
    worker_inventory inventory_;
    plan_executor executor_;
    scoped_timer tick_timer_;
    scoped_timer take_over_timer_;
    std::map<job_id, std::shared_ptr<gang_launch>> launches_;
    std::map<job_id, std::shared_ptr<gang_stop>> stops_;
    // Workers on which a committed attempt could not be started.
    std::map<job_id, worker_id> culprits_;
    // When this entry learned of each live attempt's commit, and which are to be stopped.
    std::map<job_id, time_point> committed_;
    std::set<job_id> stopping_;
    std::shared_ptr<int> alive_;
};

}  // namespace baobabrack

#endif
