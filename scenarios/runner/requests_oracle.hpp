#ifndef BAOBABRACK_RUNNER_REQUESTS_ORACLE_HPP
#define BAOBABRACK_RUNNER_REQUESTS_ORACLE_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "baobabrack/dispatch/caller_request.hpp"
#include "fakes/fake_targets.hpp"

namespace baobabrack::scenario {

/// Compares what callers were told with what targets ran.
class requests_oracle {
public:
    /// Header by which a run is put down to the attempt that caused it.
    static constexpr const char* attempt_header = "Attempt";

    explicit requests_oracle(runtime& loop) : loop_(loop) {}

    void ran(const fakes::fake_target& target, const target_request& request);
    void answered(const std::string& body, std::uint32_t attempt, bool idempotent,
                  const caller_answer& answer);
    void leaving(const target_id& target) { leaving_.emplace(target, loop_.now()); }
    void restarted(const target_id& target) { leaving_.erase(target); }
    void check_limits(fakes::fake_targets& targets);
    void broke(const std::string& what);

    /// @return the first invariant that broke; empty if none did
    const std::string& violation() const { return violation_; }

    std::uint64_t answers() const { return answers_; }
    const std::map<std::string, std::uint64_t>& refusals() const { return refusals_; }

private:
    struct history {
        std::uint32_t runs = 0;
        std::uint32_t lowest_run_attempt = 0;
        // Highest attempt that was told that nothing ran; all runs of it and before are false.
        std::uint32_t not_run_up_to = 0;
        bool told_not_run = false;
    };

    void check(const std::string& body, const history& known);

    runtime& loop_;
    std::map<std::string, history> requests_;
    std::map<target_id, time_point> leaving_;
    std::string violation_;
    std::uint64_t answers_ = 0;
    std::map<std::string, std::uint64_t> refusals_;
};

}  // namespace baobabrack::scenario

#endif
