#ifndef BAOBABRACK_RUNNER_REQUESTS_LOG_HPP
#define BAOBABRACK_RUNNER_REQUESTS_LOG_HPP

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <vector>

#include "baobabrack/ledger/proposer.hpp"
#include "baobabrack/runtime/runtime.hpp"

namespace baobabrack::scenario {

/// One log that several replicas read, on virtual time, with outages, late appends and lost
/// answers.
class requests_log {
public:
    struct line {
        wire::Record record;
        record_position position;
        /// Tells the proposals of one writer apart.
        std::uint64_t proposal = 0;
    };

    explicit requests_log(runtime& loop) : loop_(loop) {}

    /// While down nothing is appended or read.
    void set_down(bool down) { down_ = down; }
    bool down() const { return down_; }

    /// Of a thousand appends, how many reach the log only long after they were sent.
    void set_late_appends(std::uint64_t per_thousand) { late_per_thousand_ = per_thousand; }

    const std::vector<line>& lines() const { return lines_; }

    /// Appends now.
    void append(wire::Record record, entry_id writer, incarnation version, std::uint64_t proposal);

    /// @return whether the next append is a late one
    bool next_is_late() { return loop_.random() % 1000 < late_per_thousand_; }

private:
    runtime& loop_;
    bool down_ = false;
    std::uint64_t late_per_thousand_ = 0;
    std::vector<line> lines_;
};

/// One entry's replica of the log and its way to propose.
class requests_replica : public proposer {
public:
    struct options {
        entry_id self;
        incarnation version;
        duration append_delay = std::chrono::milliseconds{2};
        duration longest_late_append = std::chrono::seconds{5};
    };

    requests_replica(runtime& loop, requests_log& log, std::vector<replicated_state*> states,
                     options opts);

    void propose(wire::Record record, duration patience, callback done) override;

    /// Reads and applies what is new, unless the log cannot be reached.
    ///
    /// @return whether the log was read to its end
    bool read();

    /// While parted this replica alone cannot reach the log.
    void set_parted(bool parted) { parted_ = parted; }
    bool parted() const { return parted_; }

    log_offset next_offset() const { return log_offset{next_}; }

private:
    struct proposal {
        callback done;
        wire::Record record;
        time_point give_up{};
        bool sent = false;
    };

    bool reachable() const { return !parted_ && !log_.down(); }
    void try_append(std::uint64_t number);
    void give_up(std::uint64_t number);
    void applied(std::uint64_t number, const result<record_position>& position);

    runtime& loop_;
    requests_log& log_;
    std::vector<replicated_state*> states_;
    options options_;
    bool parted_ = false;
    std::uint64_t next_ = 0;
    std::uint64_t last_proposal_ = 0;
    std::map<std::uint64_t, proposal> proposals_;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

}  // namespace baobabrack::scenario

#endif
