#ifndef BAOBABRACK_BENCH_WORKLOAD_SIMULATION_HPP
#define BAOBABRACK_BENCH_WORKLOAD_SIMULATION_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <string>
#include <vector>

#include "baobabrack/workload/scheduler.hpp"
#include "workload_measures.hpp"
#include "workload_trace.hpp"

namespace baobabrack::bench {

/// Plays a trace against the scheduler's decisions with simple workers in virtual time: what is
/// decided is stored and ordered after the usual delays, and nothing but the workers fails.
class workload_simulation {
public:
    workload_simulation(const workload_trace& trace, std::uint64_t seed);

    workload_result run();

private:
    struct live_run {
        workload::task_name task;
        workload::run_number run;
        resources needs;
        const workload_job* job = nullptr;
        double work_s = 0;
        double done_s = 0;
        double saved_s = 0;
        /// Work at which the run fails by its own fault; beyond the end if it does not.
        double fails_at_s = 0;
        double rate = 0;
        time_point updated{};
        time_point began{};
        bool stopping = false;
        std::uint64_t version = 0;
    };
    struct host_state {
        workload::worker_facts facts;
        bool down = false;
        double slow_factor = 1;
        bool fails_all = false;
        bool stands_still = false;
        std::map<workload::task_name, live_run> runs;
        std::vector<workload::ended_run> ends;
        std::uint64_t ends_made = 0;
        bool report_due = false;
    };
    struct event {
        time_point at;
        std::uint64_t order;
        std::function<void()> action;
        bool operator>(const event& other) const {
            return at != other.at ? at > other.at : order > other.order;
        }
    };

    void at(time_point when, std::function<void()> action);
    void after(duration delay, std::function<void()> action) {
        at(now_ + delay, std::move(action));
    }
    void add_hosts();
    void begin_trouble(const workload_trouble& trouble);
    void end_trouble(const workload_trouble& trouble);
    void tick();
    void beat();
    void report_soon(std::uint32_t host);
    void report(std::uint32_t host);
    workload::worker_report report_of(host_state& host);
    void decide();
    void take_notes();
    bool has_trouble(const workload::task_name& task) const;
    void carry_out(std::uint32_t host, const workload::worker_orders& orders);
    void begin(std::uint32_t host, const workload::start_order& wanted);
    void stop(std::uint32_t host, const workload::task_name& task, workload::run_number run);
    void end(std::uint32_t host, const workload::task_name& task, workload::run_outcome how);
    void advance(live_run& run) const;
    void settle_host(std::uint32_t host);
    void settle(const workload::task_name& task);
    double rate_of(const workload::task_name& task, const live_run& run) const;
    live_run* find_run(const workload::task_name& task);
    std::vector<workload::task_name> members_of(const workload::task_name& task) const;
    double uniform();

    const workload_trace& trace_;
    workload::scheduler core_;
    workload::workload_config directory_;
    workload_result result_;
    std::priority_queue<event, std::vector<event>, std::greater<>> events_;
    std::uint64_t events_made_ = 0;
    time_point now_{};
    std::vector<host_state> hosts_;
    std::map<std::string, std::uint32_t> host_numbers_;
    std::map<job_id, std::size_t> job_numbers_;
    // Where each task runs.
    std::map<workload::task_name, std::uint32_t> places_;
    bool storing_ = false;
    bool decide_due_ = false;
    time_point stored_at_{};
    std::uint64_t random_;
};

}  // namespace baobabrack::bench

#endif
