#ifndef BAOBABRACK_RUNNER_STATE_PROTOCOLS_HPP
#define BAOBABRACK_RUNNER_STATE_PROTOCOLS_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "baobabrack/ledger/replicated_state.hpp"
#include "baobabrack/records.pb.h"

namespace baobabrack::scenario {

/// A race of proposals of which at most one may ever take effect.
class state_protocol {
public:
    state_protocol() = default;
    state_protocol(const state_protocol&) = delete;
    state_protocol& operator=(const state_protocol&) = delete;
    virtual ~state_protocol() = default;

    virtual std::string_view name() const = 0;

    /// @return fresh parts of the state for one process
    virtual std::vector<std::unique_ptr<replicated_state>> make_states() const = 0;

    /// @return records that stand in the log before the race
    virtual std::vector<wire::Record> preamble() const = 0;

    /// @param entry   which of the racing entries proposes
    /// @param version its incarnation
    virtual wire::Record proposal(std::size_t entry, std::uint64_t version) const = 0;
};

/// @return the races over a ticket's number, an idempotency key and a worker's accelerators
std::vector<std::unique_ptr<state_protocol>> all_state_protocols();

}  // namespace baobabrack::scenario

#endif
