#ifndef BAOBABRACK_TESTS_WORKLOAD_WORKLOAD_WORLD_HPP
#define BAOBABRACK_TESTS_WORKLOAD_WORKLOAD_WORLD_HPP

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "baobabrack/runtime/virtual_runtime.hpp"
#include "baobabrack/workload/front_desk.hpp"
#include "baobabrack/workload/worker_guard.hpp"
#include "fakes/fake_guarded_worker.hpp"
#include "fakes/fake_network.hpp"
#include "fakes/fake_store.hpp"

namespace baobabrack::testing {

/// A configuration that a test sets.
class fixed_directory : public workload::directory_source {
public:
    explicit fixed_directory(runtime& loop) : loop_(loop) {}

    workload::directory config;
    bool known = true;

    const workload::directory* current() const override { return known ? &config : nullptr; }
    std::optional<time_point> confirmed() const override {
        return known ? std::optional{loop_.now()} : std::nullopt;
    }

private:
    runtime& loop_;
};

/// Schedulers, guards and workers in virtual time, with the invariants that must always hold:
/// no task has two runs at once, none begins after its end was noted as done, no worker holds more
/// than it has, nothing begins that was not submitted.
class workload_world : public fakes::run_listener {
public:
    struct options {
        unsigned schedulers = 3;
        unsigned hosts = 4;
        unsigned hosts_per_rack = 2;
        std::uint32_t accelerators_per_host = 8;
        duration run_time = std::chrono::milliseconds{900};
    };

    workload_world(std::uint64_t seed, options opts);

    virtual_runtime loop;
    fakes::fake_store store;
    fixed_directory config;

    void run_for(duration span) { loop.run_for(span); }

    /// Runs until a condition holds or the span is over.
    bool run_until(const std::function<bool()>& holds, duration limit);

    void kill_scheduler(unsigned at);
    void start_scheduler(unsigned at);
    void kill_guard(unsigned at);
    void start_guard(unsigned at);
    void crash_worker(unsigned at);

    /// Guards know no scheduler to look for a leader at but this one.
    void point_guards_at(unsigned scheduler_number);

    /// An announcement of the worker's earlier life arrives late.
    void announce_earlier_life(unsigned at);

    workload::scheduler_node* scheduler(unsigned at) { return schedulers_[at].node.get(); }
    fakes::fake_store_link& store_link(unsigned at) { return *schedulers_[at].link; }
    fakes::fake_guarded_worker& worker(unsigned at) { return *hosts_[at].worker; }
    bool scheduler_lives(unsigned at) const { return schedulers_[at].node != nullptr; }
    bool guard_lives(unsigned at) const { return hosts_[at].guard != nullptr; }
    void cut(const std::string& one, const std::string& other) { network_.cut(one, other); }
    void mend(const std::string& one, const std::string& other) { network_.mend(one, other); }

    /// @return the scheduler that leads, or null
    workload::scheduler_node* leader();

    /// @return the number of the scheduler that leads; there must be one
    unsigned leading_scheduler();

    /// @return the number of the first host that runs something; there must be one
    unsigned busy_host();

    /// Submits by the first scheduler that lives.
    ///
    /// @return whether it was stored
    bool submit(const workload::job_spec& spec);
    bool submit_at(unsigned at, const workload::job_spec& spec);
    bool cancel(const std::string& id);

    /// @return what any scheduler shows, or nothing
    std::optional<workload::job_phase> phase(const std::string& id);
    bool completed(const std::string& id);

    /// What went against the invariants, one line each.
    std::vector<std::string> violations;

    std::uint64_t runs_begun = 0;
    std::map<workload::task_name, unsigned> runs_of;
    std::map<workload::task_name, workload::host_id> last_host;
    std::map<workload::task_name, time_point> first_begin;

    void run_began(const workload::task_name& task, workload::run_number run,
                   const workload::worker_instance& where) override;
    void run_over(const workload::task_name& task, workload::run_number run,
                  std::optional<workload::end_kind> how) override;
    void end_noted(const workload::run_end& end) override;
    void overfull(const workload::worker_instance& where) override;

private:
    struct scheduler_process {
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
    };

    void announce(unsigned at);

    options options_;
    fakes::fake_network network_;
    std::vector<scheduler_process> schedulers_;
    std::vector<host_process> hosts_;
    std::uint64_t lives_ = 1;
    std::map<workload::task_name, std::set<workload::run_number>> running_;
    std::set<workload::task_name> noted_done_;
    std::set<job_id> submitted_;
};

/// @return a job of one step
workload::job_spec job_of(const std::string& id, std::uint32_t tasks,
                          std::uint32_t accelerators_per_task, bool gang = false);

}  // namespace baobabrack::testing

#endif
