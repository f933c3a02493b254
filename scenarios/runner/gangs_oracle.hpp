#ifndef BAOBABRACK_RUNNER_GANGS_ORACLE_HPP
#define BAOBABRACK_RUNNER_GANGS_ORACLE_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>

#include "baobabrack/gangs/gang_options.hpp"
#include "baobabrack/gangs/job_listener.hpp"
#include "baobabrack/gangs/job_state.hpp"
#include "baobabrack/ledger/replay.hpp"
#include "fakes/fake_workers.hpp"

namespace baobabrack::scenario {

/// Checks the invariants of gangs: the workers' truth against the log's, record by record.
class gangs_oracle : public job_listener {
public:
    gangs_oracle(runtime& loop, fakes::fake_workers& workers, const gang_options& options);
    ~gangs_oracle() override;

    /// Applies an entry of the log as it is appended.
    void append(const std::string& payload) { replay_.apply(payload); }

    /// A worker has run a task to its end.
    void finished(const worker_id& worker, const job_id& job, attempt_number attempt);

    /// Checks every invariant; `violation` tells the first that broke.
    void check();

    /// Checks what must hold when the log and every replica stand at one offset.
    void check_resources(const job_state& state, const std::string& owner);

    /// No fault of an entry, a link or the log is active since this moment.
    void set_calm_since(time_point since) { calm_since_ = since; }
    void set_disturbed() { calm_since_ = time_point::max(); }

    const std::string& violation() const { return violation_; }
    void fail(const std::string& what);

    const job_state& state() const { return state_; }

    void job_queued(const job& queued) override;
    void gang_committed(const job& committed) override;
    void gang_stopping(const job& stopping) override;
    void gang_released(const job& ended, const std::vector<job_member>& members,
                       wire::StopReason reason) override;
    void job_ended(const job& ended) override;
    void state_loaded() override {}

    std::uint64_t commits = 0;
    std::uint64_t releases = 0;
    std::uint64_t ends = 0;
    std::map<wire::StopReason, std::uint64_t> stops;
    duration longest_partial{};

private:
    using attempt_key = std::pair<std::string, std::uint32_t>;
    using running_map = std::map<std::string, std::map<std::uint32_t, std::set<worker_id>>>;

    running_map running_now();
    void check_running(const running_map& running);
    void check_partial(const running_map& running);
    bool is_partial(const attempt_key& key, const std::set<worker_id>& running) const;

    runtime& loop_;
    fakes::fake_workers& workers_;
    gang_options options_;
    job_state state_{{}};
    replay replay_;
    std::map<attempt_key, std::set<worker_id>> members_;
    std::map<attempt_key, std::set<worker_id>> finished_;
    std::map<attempt_key, time_point> partial_since_;
    time_point calm_since_{};
    std::string violation_;
};

}  // namespace baobabrack::scenario

#endif
