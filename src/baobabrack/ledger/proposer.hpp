#ifndef BAOBABRACK_LEDGER_PROPOSER_HPP
#define BAOBABRACK_LEDGER_PROPOSER_HPP

#include <functional>

#include "baobabrack/ledger/replicated_state.hpp"
#include "baobabrack/records.pb.h"
#include "baobabrack/units/failure.hpp"

namespace baobabrack {

/// Puts records into the log and tells what became of them when they are replayed.
class proposer {
public:
    /// The record's position if it was applied. Failures: `conflict` and the like from the state
    /// that refused it; `unavailable` if it is proved that it is not and will not be in the log;
    /// `timed_out` if it may still appear.
    using callback = std::function<void(result<record_position>)>;

    proposer() = default;
    proposer(const proposer&) = delete;
    proposer& operator=(const proposer&) = delete;
    virtual ~proposer() = default;

    /// Adds a record to the batch of this loop turn.
    ///
    /// @param record   what to append
    /// @param patience how long to wait for the replay; the record is withdrawn if it has not
    ///                 been sent by then
    /// @param done     runs later, once, from the loop, after the record was applied
    virtual void propose(wire::Record record, duration patience, callback done) = 0;
};

}  // namespace baobabrack

#endif
