#ifndef BAOBABRACK_TRANSPORT_HTTP_CODEC_HPP
#define BAOBABRACK_TRANSPORT_HTTP_CODEC_HPP

#include <sys/time.h>

#include "baobabrack/transport/http_types.hpp"
#include "baobabrack/units/time.hpp"

struct evhttp_request;
struct evkeyvalq;

namespace baobabrack {

/// @return a duration as the timeval that libevent expects
timeval to_timeval(duration span);

/// @return the headers of an evhttp message
std::vector<http_header> read_headers(const evkeyvalq& raw);

/// @return a complete request that evhttp has received
http_request read_request(evhttp_request* raw);

/// Sends the response to an evhttp request.
///
/// @param close_connection whether the connection closes after the response
void send_response(evhttp_request* raw, const http_response& response, bool close_connection);

/// @return the body of an evhttp message
std::string read_body(evhttp_request* raw);

}  // namespace baobabrack

#endif
