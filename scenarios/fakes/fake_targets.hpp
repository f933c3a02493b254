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

/// What a fake target does with requests.
enum class target_mode {
    ordinary,
    slow,
    /// Answers errors at once.
    errors,
    /// Takes requests and never answers.
    stalls,
    /// Answers with another exchange's id and body.
    mismatches,
    /// Answers with fewer bytes than announced.
    truncates,
    /// Answers twice.
    duplicates,
};

struct fake_target {
    wire::TargetAnnouncement facts;
    target_mode mode = target_mode::ordinary;
    bool up = true;
    bool restarted = false;
    /// Requests that run, whether or not anybody waits for them.
    std::uint32_t running = 0;
    /// Exchanges that hold a connection.
    std::uint32_t connections = 0;
    std::set<std::string> fenced;
    std::set<std::string> ran_keys;
};

/// Targets on virtual time, shared by the links of several entries. A run ends with its work, its
/// deadline or its target, also when nobody waits for it any more.
class fake_targets {
public:
    struct options {
        duration delay = std::chrono::microseconds{500};
        duration cross_region_delay = std::chrono::milliseconds{8};
        /// How many times longer a slow target takes.
        int slow_factor = 10;
    };
    /// How long the work of a request takes.
    using work_time = std::function<duration(const target_request&)>;

    fake_targets(runtime& loop, options opts, work_time work)
        : loop_(loop), options_(opts), work_(std::move(work)) {}

    fake_target& add(wire::TargetAnnouncement facts);
    fake_target& get(const target_id& id) { return targets_.at(id); }
    std::map<target_id, fake_target>& all() { return targets_; }

    /// Ends everything that runs there; the target comes back at once as its next incarnation.
    void crash(const target_id& id);

    /// Hears of every start of a request.
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

/// One entry's way to the targets. When it goes, its exchanges go on without anybody waiting.
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
