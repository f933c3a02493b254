#ifndef BAOBABRACK_SCRIPT_SCRIPT_RUNNER_HPP
#define BAOBABRACK_SCRIPT_SCRIPT_RUNNER_HPP

#include <cstdint>
#include <string>

namespace baobabrack::scenario {

/// Runs one script, a Tcl program with the commands of docs/scenarios.md.
///
/// @param path of the script; file names in it start from its folder
/// @return what went wrong, with the line; empty if everything held
std::string run_script(const std::string& path, std::uint64_t seed);

}  // namespace baobabrack::scenario

#endif
