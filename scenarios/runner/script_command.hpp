#ifndef BAOBABRACK_RUNNER_SCRIPT_COMMAND_HPP
#define BAOBABRACK_RUNNER_SCRIPT_COMMAND_HPP

#include <cstdint>
#include <string>
#include <vector>

namespace baobabrack::scenario {

struct script_command {
    std::vector<std::string> files;
    std::uint64_t seed = 1;
};

/// Runs the scripts one after another and prints what came of each.
///
/// @return the exit code: 0 if everything held, 1 otherwise
int run_scripts(const script_command& command);

}  // namespace baobabrack::scenario

#endif
