#ifndef BAOBABRACK_RUNNER_FUZZ_COMMAND_HPP
#define BAOBABRACK_RUNNER_FUZZ_COMMAND_HPP

#include <string>

#include "runner/fuzz_area.hpp"

namespace baobabrack::scenario {

struct fuzz_command {
    std::string area;
    fuzz_options options;
    /// How many seeds to run, from `options.seed` on.
    std::uint64_t seeds = 1;
    /// Runs every mutation of the area instead and expects each to be caught.
    bool prove_checks = false;
};

/// Runs the command and prints what came of each run.
///
/// @return the exit code: 0 if everything held, 1 if an invariant broke or a mutation went
///         uncaught, 2 if there is no such area
int run_fuzz(const fuzz_command& command);

}  // namespace baobabrack::scenario

#endif
