#ifndef BAOBABRACK_CTL_PROGRAM_HPP
#define BAOBABRACK_CTL_PROGRAM_HPP

#include <iosfwd>
#include <string>
#include <vector>

#include "baobabrack/ctl/exit_code.hpp"

namespace baobabrack::ctl {

/// Runs baobabrackctl.
///
/// @param arguments command line without the program name
/// @param out       stream for responses
/// @param error     stream for refusals and error messages
exit_code run_program(const std::vector<std::string>& arguments, std::ostream& out,
                      std::ostream& error);

}  // namespace baobabrack::ctl

#endif
