#ifndef BAOBABRACK_TESTS_WORKLOAD_SIMULATED_CLUSTER_HPP
#define BAOBABRACK_TESTS_WORKLOAD_SIMULATED_CLUSTER_HPP

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "baobabrack/runtime/virtual_runtime.hpp"
#include "baobabrack/workload/job_frontend.hpp"
#include "baobabrack/workload/worker_guard.hpp"
#include "fakes/fake_guarded_worker.hpp"
#include "fakes/fake_network.hpp"
#include "fakes/fake_store.hpp"
#include "fakes/process_runtime.hpp"

namespace baobabrack::testing {

/// Configuration source whose content is set by a test.
class fake_config_source : public workload::config_source {
public:
    explicit fake_config_source(runtime& loop) : loop_(loop) {}

    workload::workload_config config;
    std::set<data_centre_id> evacuated_zones;
    bool available = true;
    /// Since when nothing has been confirmed, if it is not.
    std::optional<time_point> confirmed_until;

    const workload::workload_config* current() const override {
        return available ? &config : nullptr;
    }
    const std::set<data_centre_id>& evacuated() const override { return evacuated_zones; }
    std::optional<time_point> confirmed() const override {
        return available ? std::optional{confirmed_until.value_or(loop_.now())} : std::nullopt;
    }

private:
    runtime& loop_;
};

/// Simulates schedulers, guards and workers in virtual time and checks these invariants: no task
/// has two runs at once, no run of a task begins after another one has ended as done if that end is
/// recorded then or later (later only while the worker's lease lasts), no worker exceeds its
/// capacity, and nothing runs that was not submitted.
class simulated_cluster : public fakes::run_listener {
public:
    struct options {
        unsigned schedulers = 3;
        unsigned hosts = 4;
        unsigned hosts_per_rack = 2;
        std::uint32_t accelerators_per_host = 8;
        duration run_time = std::chrono::milliseconds{900};
        std::size_t max_listed_ends = 500;
        /// As of `scheduler_node::options` and `worker_guard::options`.
        duration evacuation_bound{};
    };

    simulated_cluster(std::uint64_t seed, options opts);

    virtual_runtime loop;
    fakes::fake_store store;
    fake_config_source config;

    void run_for(duration span) { loop.run_for(span); }

    /// Runs until the condition holds or the time limit has passed.
    ///
    /// @return whether the condition holds
    bool run_until(const std::function<bool()>& condition, duration limit);

    void kill_scheduler(unsigned index);
    /// Defers the timers of a scheduler, and cuts it off from the store.
    void pause_scheduler(unsigned index);
    void resume_scheduler(unsigned index);
    void start_scheduler(unsigned index);
    void kill_guard(unsigned index);
    void start_guard(unsigned index);
    void crash_worker(unsigned index, duration restart_time = {});

    /// Stops every scheduler and guard and crashes every worker, then starts them again.
    void lose_all_power(duration down_time);

    /// Loses the announcements of a worker until this is called with `false`.
    void drop_announcements(unsigned index, bool drop) { hosts_[index].drops_announcements = drop; }

    /// Makes one scheduler the only seed of all guards.
    void set_guard_seeds(unsigned scheduler_index);

    /// Delivers a late announcement of the worker's previous instance.
    void announce_previous_instance(unsigned index);

    /// @return the metrics of a scheduler that is running
    metrics_registry& metrics(unsigned index) { return *schedulers_[index].metrics; }

    workload::scheduler_node* scheduler(unsigned index) { return schedulers_[index].node.get(); }
    fakes::fake_store_link& store_link(unsigned index) { return *schedulers_[index].link; }
    fakes::fake_guarded_worker& worker(unsigned index) { return *hosts_[index].worker; }
    bool is_scheduler_running(unsigned index) const { return schedulers_[index].node != nullptr; }
    bool is_guard_running(unsigned index) const { return hosts_[index].guard != nullptr; }
    /// @return the number of messages that were larger than their receivers take
    std::uint64_t oversized_messages() const { return network_.oversized(); }
    void disconnect(const std::string& first, const std::string& second) {
        network_.partition(first, second);
    }
    /// Drops the messages from one process to another until `restore`.
    void cut(const std::string& from, const std::string& to) { network_.cut(from, to); }
    void restore(const std::string& from, const std::string& to) { network_.restore(from, to); }
    void reconnect(const std::string& first, const std::string& second) {
        network_.heal(first, second);
    }

    /// @return the scheduler that is the leader, or null
    workload::scheduler_node* leader();

    /// @return the index of the scheduler that is the leader; there must be one
    unsigned leader_index();

    /// @return the index of the first host that has a run; there must be one
    unsigned busy_host();

    /// Submits a job to the first scheduler that is running.
    ///
    /// @return whether the job was stored
    bool submit(const workload::job_spec& spec);
    bool submit_at(unsigned index, const workload::job_spec& spec);
    bool cancel(const std::string& id);

    /// @return the phase of a job as the first scheduler that knows it reports it, or nothing
    std::optional<workload::job_phase> phase(const std::string& id);
    bool completed(const std::string& id);

    /// @return how many workers have crashed under one task of the job
    unsigned most_crashes(const std::string& id) const;

    /// Violated invariants, one line each.
    std::vector<std::string> violations;

    /// How long after its start a run of each of these tasks crashes its worker.
    std::map<workload::task_name, duration> crashing_tasks;

    /// How long the runs of these tasks take instead of the cluster's usual run time.
    std::map<workload::task_name, duration> run_times;

    /// Crashes of workers while they had a run of the task.
    std::map<workload::task_name, unsigned> crashes_under;

    std::uint64_t runs_started = 0;
    std::map<workload::task_name, unsigned> runs_of;
    std::map<workload::task_name, workload::host_id> last_host;
    std::map<workload::task_name, time_point> first_start;
    std::map<workload::host_id, time_point> last_start;

    void run_started(const workload::task_name& task, workload::run_number run,
                     const workload::worker_instance& where) override;
    void run_ended(const workload::task_name& task, workload::run_number run,
                   std::optional<workload::run_outcome> how) override;
    void end_acknowledged(const workload::ended_run& end, bool lease_lapsed) override;
    void over_capacity(const workload::worker_instance& where) override;

private:
    struct scheduler_process {
        std::unique_ptr<fakes::process_runtime> process;
        std::unique_ptr<fakes::fake_store_link> link;
        std::unique_ptr<peer_network> network;
        std::unique_ptr<metrics_registry> metrics;
        std::unique_ptr<workload::scheduler_node> node;
    };
    struct host_process {
        std::unique_ptr<fakes::fake_guarded_worker> worker;
        std::unique_ptr<fakes::fake_worker_link> link;
        std::unique_ptr<peer_network> network;
        std::unique_ptr<metrics_registry> metrics;
        std::unique_ptr<workload::worker_guard> guard;
        std::uint64_t announcements = 0;
        bool drops_announcements = false;
    };

    void announce(unsigned index);

    options options_;
    fakes::fake_network network_;
    std::vector<scheduler_process> schedulers_;
    std::vector<host_process> hosts_;
    std::uint64_t last_incarnation_ = 1;
    std::map<workload::task_name, std::set<workload::run_number>> running_;
    // The runs of each task that have ended as done.
    std::map<workload::task_name, std::set<workload::run_number>> ended_done_;
    // Tasks with such an end that was recorded.
    std::set<workload::task_name> recorded_done_;
    // Runs that began after another run of their task had ended as done, by that other run.
    std::multimap<std::pair<workload::task_name, workload::run_number>, std::string> repeated_runs_;
    std::set<job_id> submitted_;
};

/// @return how many seeds a test plays: as many as the variable BAOBABRACK_TEST_SEEDS says, for
/// runs
///         by hand, or `usual`
int seed_count(int usual);

/// @return a job with a single step
workload::job_spec job_of(const std::string& id, std::uint32_t tasks,
                          std::uint32_t accelerators_per_task, bool gang = false);

}  // namespace baobabrack::testing

#endif
