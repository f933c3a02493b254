#ifndef BAOBABRACK_RUNNER_FUZZ_AREA_HPP
#define BAOBABRACK_RUNNER_FUZZ_AREA_HPP

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <vector>

namespace baobabrack::scenario {

struct fuzz_options {
    std::uint64_t seed = 1;
    std::uint64_t steps = 10'000;
    /// Deliberate fault that the invariants must catch; empty for none.
    std::string mutation;
};

struct fuzz_report {
    std::uint64_t steps = 0;
    /// Empty if every invariant held; otherwise which one broke, where and how.
    std::string violation;
    /// What happened during the run, such as "claims 812", to show that it covered something.
    std::vector<std::string> coverage;
};

/// Random faults against one part of the system, with its invariants checked after every step.
class fuzz_area {
public:
    fuzz_area() = default;
    fuzz_area(const fuzz_area&) = delete;
    fuzz_area& operator=(const fuzz_area&) = delete;
    virtual ~fuzz_area() = default;

    virtual std::string_view name() const = 0;

    /// @return the deliberate faults that `run` knows; each must end in a violation
    virtual std::vector<std::string> mutations() const = 0;

    virtual fuzz_report run(const fuzz_options& options) = 0;
};

/// @return every area, in the order of their names
std::vector<std::unique_ptr<fuzz_area>> all_fuzz_areas();

}  // namespace baobabrack::scenario

#endif
