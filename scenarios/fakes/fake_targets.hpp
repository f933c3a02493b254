#ifndef BAOBABRACK_FAKES_FAKE_TARGETS_HPP
#define BAOBABRACK_FAKES_FAKE_TARGETS_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "baobabrack/platform.pb.h"
#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/services/target_service.hpp"

namespace baobabrack::fakes {

/// How a fake target treats requests.
enum class target_mode {
    ordinary,
    slow,
    /// Answers immediately with an error status.
    errors,
    /// Runs requests without ever answering them.
    stalls,
    /// Answers with the id and body of another exchange.
    mismatches,
    /// Sends fewer bytes than `Content-Length` announces.
    truncates,
    /// Answers twice.
    duplicates,
};

struct fake_target {
    wire::TargetAnnouncement facts;
    target_mode mode = target_mode::ordinary;
    bool up = true;
    bool restarted = false;
    /// Number of running requests, including those whose sender no longer waits.
    std::uint32_t running = 0;
    /// Number of exchanges that occupy a connection.
    std::uint32_t connections = 0;
    std::set<std::string> fenced;
    std::set<std::string> ran_keys;
};

/// Targets in virtual time, shared by the links of several entries. A run ends after its work time,
/// at its deadline or when its target crashes, whether or not its sender still waits.
class fake_targets {
public:
    struct options {
        duration delay = std::chrono::microseconds{500};
        duration cross_region_delay = std::chrono::milliseconds{8};
        /// Factor by which a slow target takes longer.
        int slow_factor = 10;
    };
    /// Returns how long a request runs.
    using work_time = std::function<duration(const target_request&)>;

    fake_targets(runtime& loop, options opts, work_time work)
        : loop_(loop), options_(opts), work_(std::move(work)) {}

    fake_target& add(wire::TargetAnnouncement facts);
    fake_target& get(const target_id& id) { return targets_.at(id); }
    std::map<target_id, fake_target>& all() { return targets_; }

    /// Ends all runs of the target and breaks its exchanges; it continues immediately as its next
    /// incarnation.
    void crash(const target_id& id);

    /// Called whenever a target starts to run a request.
    using run_callback = std::function<void(const fake_target&, const target_request&)>;
    void on_run(run_callback callback) { on_run_ = std::move(callback); }

    std::uint64_t runs() const { return runs_; }
    std::uint64_t sends() const { return sends_; }

private:
    friend class fake_target_link;

    struct exchange {
        target_id target;
        target_request request;
        target_service::reply_callback done;
        std::uint64_t incarnation = 0;
        duration delay{};
        bool ended = false;
    };
    using exchange_pointer = std::shared_ptr<exchange>;

    void send(const exchange_pointer& sent);
    void arrive(const exchange_pointer& sent);
    void run(const exchange_pointer& sent);
    void complete(const exchange_pointer& sent);
    void reply(const exchange_pointer& sent, target_reply answer);
    void close(const exchange_pointer& sent);
    ran_state fence(const target_id& target, const std::string& key);

    runtime& loop_;
    options options_;
    work_time work_;
    std::map<target_id, fake_target> targets_;
    std::vector<exchange_pointer> open_;
    run_callback on_run_;
    std::uint64_t runs_ = 0;
    std::uint64_t sends_ = 0;
};

/// One entry's connections to the targets. After its destruction its requests run on, but no
/// callback is called.
class fake_target_link : public target_service {
public:
    fake_target_link(fake_targets& targets, std::string region)
        : targets_(targets), region_(std::move(region)) {}
    ~fake_target_link() override;

    void send(const target_id& target, const target_request& request, reply_callback done) override;
    void abandon(const target_id& target, std::uint64_t request) override;
    void fence(const target_id& target, const workspace_id& workspace, const claim_token& claim,
               std::function<void(ran_state)> done) override;

private:
    duration delay_to(const target_id& target) const;

    fake_targets& targets_;
    std::string region_;
    std::map<std::uint64_t, std::weak_ptr<fake_targets::exchange>> exchanges_;
};

}  // namespace baobabrack::fakes

#endif
