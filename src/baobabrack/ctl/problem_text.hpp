#ifndef BAOBABRACK_CTL_PROBLEM_TEXT_HPP
#define BAOBABRACK_CTL_PROBLEM_TEXT_HPP

#include <string>

#include "baobabrack/api.pb.h"
#include "baobabrack/transport/http_types.hpp"

namespace baobabrack::ctl {

/// @return the refusal in an answer; one made up from its status if the body is none
wire::Problem parse_problem(const http_response& response);

/// @return the refusal as lines for people
std::string describe(const wire::Problem& problem);

}  // namespace baobabrack::ctl

#endif
