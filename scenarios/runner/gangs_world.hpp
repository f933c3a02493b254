#ifndef BAOBABRACK_RUNNER_GANGS_WORLD_HPP
#define BAOBABRACK_RUNNER_GANGS_WORLD_HPP

#include <cstdint>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "baobabrack/runtime/virtual_runtime.hpp"
#include "fakes/fake_log.hpp"
#include "fakes/fake_workers.hpp"
#include "runner/gangs_oracle.hpp"
#include "runner/gangs_process.hpp"

namespace baobabrack::scenario {

/// Several entries, their log and their workers, with random work and random faults.
class gangs_world {
public:
    gangs_world(std::uint64_t seed, const std::string& mutation);

    /// Does one random thing and lets some time pass, with the invariants checked after each event.
    void step();

    /// Mends everything and lets every job end; what does not end must say why.
    void settle();

    const std::string& violation() const { return oracle_.violation(); }
    std::vector<std::string> coverage() const;

private:
    static constexpr std::uint32_t worker_count = 12;
    static constexpr std::uint32_t workers_per_rack = 3;

    struct slot {
        entry_id id;
        std::uint64_t version = 0;
        std::unique_ptr<gangs_process> process;
        bool cut = false;
    };

    static fakes::fake_workers::options worker_options(const std::string& mutation);
    static gang_options options_for(const std::string& mutation);

    void run(duration span);
    void beat();
    void tell_inventory();
    void start(slot& into);
    slot& pick_slot();
    worker_id pick_worker();
    std::uint64_t pick(std::uint64_t below) { return loop_.random() % below; }
    duration pick_span(duration least, duration most);
    gangs_process* pick_live();

    void do_work(std::uint64_t dice);
    void do_fault(std::uint64_t dice);
    void submit(std::uint64_t count);
    void cancel(std::uint64_t count);
    void preempt();
    void fail_worker();
    void fail_rack();
    void pause_worker();
    void remove_worker();
    void break_worker();
    void cut_link();
    void lose_messages();
    void kill_entry();
    void pause_entry();
    void isolate_entry();
    void split_region();
    void stop_log();
    void slow_log();
    /// Undoes a disturbance of entries, links or the log after a while.
    void disturb_for(duration span, std::function<void()> mend);

    std::string mutation_;
    virtual_runtime loop_;
    gang_options options_;
    fakes::fake_log log_;
    fakes::fake_workers workers_;
    gangs_oracle oracle_;
    heartbeat_board board_;
    std::vector<slot> slots_;
    std::vector<std::string> jobs_;
    std::uint64_t next_job_ = 1;
    std::uint64_t disturbances_ = 0;
    std::uint64_t faults_ = 0;
};

}  // namespace baobabrack::scenario

#endif
