#ifndef BAOBABRACK_TRANSPORT_HTTP_CODEC_HPP
#define BAOBABRACK_TRANSPORT_HTTP_CODEC_HPP

#include <sys/time.h>

#include "baobabrack/transport/http_types.hpp"
#include "baobabrack/units/time.hpp"

struct evhttp_request;
struct evkeyvalq;

namespace baobabrack {

/// @return a span of time as libevent takes it
timeval to_timeval(duration span);

/// @return the headers of a message of evhttp
std::vector<http_header> read_headers(const evkeyvalq& raw);

/// @return a whole request that evhttp has received
http_request read_request(evhttp_request* raw);

/// Answers a request of evhttp.
///
/// @param last whether the connection closes after the answer
void send_response(evhttp_request* raw, const http_response& response, bool close_connection);

/// @return the body that evhttp has received
std::string read_body(evhttp_request* raw);

}  // namespace baobabrack

#endif
