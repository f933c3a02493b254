#ifndef BAOBABRACK_RUNNER_REQUESTS_FUZZ_HPP
#define BAOBABRACK_RUNNER_REQUESTS_FUZZ_HPP

#include "runner/fuzz_area.hpp"

namespace baobabrack::scenario {

/// Several entries before one log and faulty targets, with callers that repeat their keys.
class requests_fuzz : public fuzz_area {
public:
    std::string_view name() const override { return "requests"; }
    std::vector<std::string> mutations() const override;
    fuzz_report run(const fuzz_options& options) override;
};

}  // namespace baobabrack::scenario

#endif
