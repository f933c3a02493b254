#ifndef BAOBABRACK_ENTRY_PROBLEM_HPP
#define BAOBABRACK_ENTRY_PROBLEM_HPP

#include <string>
#include <vector>

#include "baobabrack/codec/strict_json.hpp"
#include "baobabrack/dispatch/caller_request.hpp"
#include "baobabrack/transport/http_types.hpp"
#include "baobabrack/units/failure.hpp"
#include "baobabrack/units/ran_state.hpp"

namespace google::protobuf {
class Message;
}

namespace baobabrack {

/// @return a response with the message as its JSON body
http_response json_response(int status, const google::protobuf::Message& body);

/// @return an `application/problem+json` response for a failed call
///
/// @param ran whether the requested work may have run, reported in the field `ran`
http_response problem_response(const failure& error, ran_state ran = ran_state::no);

/// @return an `application/problem+json` response for a rejected document, listing every error
http_response problem_response(const failure& error, const std::vector<document_problem>& errors);

/// @return an `application/problem+json` response for a refused caller's request
///
/// Sets `Retry-After`, in whole seconds rounded up and at least 1, if the refusal has a retry
/// delay.
http_response problem_response(const refusal& refused);

/// @return the HTTP status for a kind of failure
int status_of(failure_kind kind);

/// @return the HTTP status for the reason of a refusal
int status_of(refusal_reason reason);

}  // namespace baobabrack

#endif
