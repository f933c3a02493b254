#ifndef BAOBABRACK_FAKES_FAKE_PROPOSER_HPP
#define BAOBABRACK_FAKES_FAKE_PROPOSER_HPP

#include <vector>

#include "baobabrack/ledger/proposer.hpp"
#include "baobabrack/runtime/runtime.hpp"

namespace baobabrack::fakes {

/// Applies each proposed record to the given states after a delay, like a log with one writer.
class fake_proposer : public proposer {
public:
    struct options {
        entry_id writer{"e1"};
        duration delay = std::chrono::milliseconds{2};
    };

    fake_proposer(runtime& loop, std::vector<replicated_state*> states, options opts);

    void propose(wire::Record record, duration timeout, callback done) override;

    /// While down, proposals fail as `unavailable` after their timeout.
    void set_down(bool down) { down_ = down; }
    bool down() const { return down_; }

    /// @return the number of records appended
    std::uint64_t appended() const { return next_offset_; }

private:
    result<record_position> apply(const wire::Record& record);

    runtime& loop_;
    std::vector<replicated_state*> states_;
    options options_;
    std::uint64_t next_offset_ = 0;
    bool down_ = false;
};

}  // namespace baobabrack::fakes

#endif
