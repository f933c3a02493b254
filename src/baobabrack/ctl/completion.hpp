#ifndef BAOBABRACK_CTL_COMPLETION_HPP
#define BAOBABRACK_CTL_COMPLETION_HPP

#include <string>

namespace CLI {  // NOLINT(readability-identifier-naming)
class App;
}

namespace baobabrack::ctl {

/// @return a bash completion script for all commands and options
std::string bash_completion(const CLI::App& app);

}  // namespace baobabrack::ctl

#endif
