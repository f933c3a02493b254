#ifndef BAOBABRACK_RUNNER_STATE_ORACLE_HPP
#define BAOBABRACK_RUNNER_STATE_ORACLE_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "baobabrack/ledger/replay.hpp"
#include "baobabrack/ledger/snapshot_chunks.hpp"
#include "runner/state_process.hpp"

namespace baobabrack::scenario {

/// What a writer was told about a proposal.
enum class proposal_answer { none, applied, refused, unavailable, open };

/// Follows the log itself, without faults, and knows what must hold of everyone else.
class state_oracle {
public:
    /// Notes a proposal under its unique mark.
    void propose(const std::string& mark) { proposals_[mark]; }

    /// Notes what the writer was told.
    ///
    /// @return the violation, if the log contradicts it
    std::string answer(const std::string& mark, const result<record_position>& outcome);

    /// Takes in what was appended to the log.
    ///
    /// @return the violation, if a record must not be there
    std::string append(log_offset offset, const std::string& payload);

    /// @return digest of the state at an offset
    std::uint64_t digest(log_offset next) const { return digests_.at(next.get()); }

    /// @return whether a process can start from the log alone
    bool recoverable(std::uint64_t oldest) const { return oldest == 0 || newest_whole_ >= oldest; }

    /// Checks, at the end, that every proposal was answered and every accepted one counts once.
    std::string finish() const;

    log_offset end() const { return replay_.next_offset(); }
    std::uint64_t count(proposal_answer told) const;

private:
    struct proposal {
        proposal_answer told = proposal_answer::none;
        // How often a record of it was applied, and where last.
        std::uint64_t applied = 0;
        log_offset offset;
        bool in_log = false;
    };

    std::string judge(const std::string& mark, const proposal& one) const;
    std::string check_grants() const;
    void note_snapshot(const wire::SnapshotChunk& chunk);

    state_parts parts_;
    replay replay_{parts_.all()};
    std::vector<std::uint64_t> digests_{replay_.digest()};
    std::map<std::string, proposal> proposals_;
    std::set<std::string> claimed_;
    snapshot_assembler snapshots_{{.keep_bytes = false}};
    std::uint64_t newest_whole_ = 0;
};

}  // namespace baobabrack::scenario

#endif
