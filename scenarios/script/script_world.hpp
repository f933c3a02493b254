#ifndef BAOBABRACK_SCRIPT_SCRIPT_WORLD_HPP
#define BAOBABRACK_SCRIPT_SCRIPT_WORLD_HPP

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "baobabrack/runtime/virtual_runtime.hpp"
#include "script/script_entry.hpp"

namespace baobabrack::scenario {

/// A request that a script has sent, with its answer once there is one.
struct script_request {
    std::string body;
    std::string key;
    std::optional<caller_answer> answer;
    /// Body of the target's run that the answer must carry.
    bool whole() const;
};

/// The whole system of one script in virtual time, with what must always hold checked as it runs.
class script_world {
public:
    explicit script_world(std::uint64_t seed);

    void start_entry(const std::string& id, const std::string& region);
    void kill_entry(const std::string& id) { entries_.erase(id); }
    void drain_entry(const std::string& id);
    bool has_drained(const std::string& id) const;
    script_entry& entry(const std::string& id);

    /// @return any entry that runs, the first by id
    script_entry& any_entry();
    std::map<std::string, std::unique_ptr<script_entry>>& entries() { return entries_; }

    void add_workers(const std::string& prefix, const std::string& region, std::uint32_t count,
                     std::uint32_t per_rack, const resources& capacity);
    void add_target(const std::string& id, const std::string& service, const std::string& region);
    void leave(const std::string& target);

    void send(const std::string& name, const std::string& via, caller_request request);
    const script_request& request(const std::string& name) const { return requests_.at(name); }

    /// @return how often the key ran, as the targets count it
    std::uint32_t runs_of(const std::string& key) const;

    /// @return members of the job that really run, over all its attempts
    std::uint32_t running_members(const std::string& job) const;

    /// Runs virtual time on.
    ///
    /// @return what must hold and did not; empty if all held
    std::string run_for(duration span);

    virtual_runtime& loop() { return loop_; }
    fakes::fake_log& log() { return log_; }
    fakes::fake_network& network() { return network_; }
    fakes::fake_workers& workers() { return workers_; }
    fakes::fake_targets& targets() { return targets_; }

private:
    void announce_all();
    void announce(fakes::fake_target& target);
    void note_run(const target_id& target, const target_request& run);
    std::string find_violation() const;
    std::string find_overload() const;
    std::string find_mixed_attempts() const;

    virtual_runtime loop_;
    fakes::fake_log log_;
    fakes::fake_network network_;
    fakes::fake_workers workers_;
    fakes::fake_targets targets_;
    script_platform platform_;
    std::map<std::string, std::unique_ptr<script_entry>> entries_;
    std::map<std::string, bool> drained_;
    std::map<std::string, script_request> requests_;
    std::map<std::string, std::uint32_t> runs_;
    std::map<std::string, time_point> left_;
    std::string late_run_;
    std::uint64_t next_version_ = 1;
    scoped_timer announce_timer_;
};

}  // namespace baobabrack::scenario

#endif
