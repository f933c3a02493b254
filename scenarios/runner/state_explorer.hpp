#ifndef BAOBABRACK_RUNNER_STATE_EXPLORER_HPP
#define BAOBABRACK_RUNNER_STATE_EXPLORER_HPP

#include "runner/fuzz_area.hpp"

namespace baobabrack::scenario {

/// Model checking of the ticket, claim and grant protocols: every run of two entries, one log,
/// lost answers, late effects, a pause and a restart, with no fault, with one, with two and so on
/// until the given number of runs is used up. It explores, so the seed has no effect.
class state_explorer : public fuzz_area {
public:
    std::string_view name() const override { return "protocols"; }
    std::vector<std::string> mutations() const override;
    fuzz_report run(const fuzz_options& options) override;
};

}  // namespace baobabrack::scenario

#endif
