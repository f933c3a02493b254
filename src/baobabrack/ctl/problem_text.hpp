#ifndef BAOBABRACK_CTL_PROBLEM_TEXT_HPP
#define BAOBABRACK_CTL_PROBLEM_TEXT_HPP

#include <string>

#include "baobabrack/api.pb.h"
#include "baobabrack/transport/http_types.hpp"

namespace baobabrack::ctl {

/// @return the problem details in a response; if the body has none, details derived from the status
wire::Problem parse_problem(const http_response& response);

/// @return the problem details as lines of text
std::string describe(const wire::Problem& problem);

}  // namespace baobabrack::ctl

#endif
