#ifndef BAOBABRACK_RUNNER_STATE_FUZZ_HPP
#define BAOBABRACK_RUNNER_STATE_FUZZ_HPP

#include "runner/fuzz_area.hpp"

namespace baobabrack::scenario {

/// Replicas and writers over one faulty log: equal states, nothing accepted lost or reverted,
/// every outcome as it was told.
class state_fuzz : public fuzz_area {
public:
    std::string_view name() const override { return "state"; }
    std::vector<std::string> mutations() const override;
    fuzz_report run(const fuzz_options& options) override;
};

}  // namespace baobabrack::scenario

#endif
