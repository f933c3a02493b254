#ifndef BAOBABRACK_ENTRY_REQUEST_CODEC_HPP
#define BAOBABRACK_ENTRY_REQUEST_CODEC_HPP

#include <vector>

#include "baobabrack/codec/strict_json.hpp"
#include "baobabrack/config.pb.h"
#include "baobabrack/dispatch/caller_request.hpp"
#include "baobabrack/ledger/ticket_json.hpp"
#include "baobabrack/transport/http_types.hpp"

namespace baobabrack {

/// Converts an HTTP request to a caller's request.
///
/// Headers of the connection and those that the entry interprets are not forwarded. The key,
/// attempt, deadline and caller's region are read from their own headers.
///
/// @param request `POST /v1/workspaces/{workspace}/requests/{class}`
caller_request to_caller_request(const http_request& request);

/// Converts an answer to an HTTP response.
///
/// @return the target's answer with `X-Ran: yes`, or a refusal as `application/problem+json`, whose
///         field `ran` states whether the work ran
http_response to_response(caller_answer answer);

/// Parses the ticket in the request body; reports a problem if its number differs from the one in
/// the path.
ticket_reading read_ticket(const http_request& request);

/// Validates a job's specification without regard to the state of the cluster.
///
/// @return every problem found
std::vector<document_problem> check_job(const wire::JobSpec& spec);

}  // namespace baobabrack

#endif
