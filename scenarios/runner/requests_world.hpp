#ifndef BAOBABRACK_RUNNER_REQUESTS_WORLD_HPP
#define BAOBABRACK_RUNNER_REQUESTS_WORLD_HPP

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "baobabrack/runtime/virtual_runtime.hpp"
#include "runner/requests_entry.hpp"
#include "runner/requests_oracle.hpp"

namespace baobabrack::scenario {

/// Entries, targets, callers and faults of one random requests run.
class requests_world {
public:
    requests_world(std::uint64_t seed, const std::string& mutation);

    /// Does one random thing, then lets a little time pass.
    void step();

    /// Mends everything and waits until every request has ended.
    void settle();

    const std::string& violation() const { return oracle_.violation(); }
    std::vector<std::string> coverage() const;

private:
    struct caller_key {
        std::string body;
        std::string key;
        std::uint32_t attempts = 0;
        bool counts_attempts = true;
    };

    struct dead_entry {
        entry_id id;
        incarnation version;
        time_point since{};
    };

    std::uint64_t pick(std::uint64_t count) { return loop_.random() % count; }
    requests_entry& any_entry() { return *entries_[pick(entries_.size())]; }
    requests_entry& ready_entry();
    fakes::fake_target& any_target();

    void add_entry(std::string id, incarnation version);
    void add_target(const std::string& id, const std::string& region, bool guarded);
    void tick();
    void send_heartbeats();
    void announce(const target_id& id);
    void kill_entry(std::size_t index);
    void replace_removed();
    void remove_dead();

    void submit_idempotent();
    void submit_new_key();
    void submit_known_key();
    void submit(caller_request request, bool idempotent);
    void submit_key(caller_key& key);
    duration any_deadline();

    void fault();
    void after(duration longest, std::function<void()> mend);
    requests_entry* find_entry(const entry_id& id);
    void part_from_log(requests_entry& entry);
    void part_from_peers(requests_entry& entry);
    void restart_target(const target_id& id);
    void entry_fault();
    void target_fault();
    void log_fault();

    dispatcher::options entry_options(const std::string& id, incarnation version) const;

    virtual_runtime loop_;
    std::string mutation_;
    requests_oracle oracle_;
    directory tickets_;
    requests_log log_;
    fakes::fake_targets targets_;
    std::vector<std::unique_ptr<requests_entry>> entries_;
    std::vector<dead_entry> dead_;
    std::vector<caller_key> keys_;
    std::uint64_t submitted_ = 0;
    std::uint64_t entries_made_ = 0;
    std::uint64_t faults_ = 0;
    std::uint64_t runs_ = 0;
    std::map<std::string, std::uint64_t> versions_;
};

}  // namespace baobabrack::scenario

#endif
