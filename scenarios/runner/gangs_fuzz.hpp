#ifndef BAOBABRACK_RUNNER_GANGS_FUZZ_HPP
#define BAOBABRACK_RUNNER_GANGS_FUZZ_HPP

#include "runner/fuzz_area.hpp"

namespace baobabrack::scenario {

/// Random work and faults against gangs on several entries.
class gangs_fuzz : public fuzz_area {
public:
    std::string_view name() const override { return "gangs"; }
    std::vector<std::string> mutations() const override;
    fuzz_report run(const fuzz_options& options) override;
};

}  // namespace baobabrack::scenario

#endif
