#ifndef BAOBABRACK_STANDIN_ROUTE_HPP
#define BAOBABRACK_STANDIN_ROUTE_HPP

#include <string>

#include "baobabrack/transport/http_server.hpp"

namespace google::protobuf {
class Message;
}

namespace baobabrack::standin {

/// @return whether the request has this method and first path segment
bool matches(const http_request& request, const std::string& method,
             const std::string& first_segment);

/// @return a 200 response whose body is the message in protobuf's binary encoding
http_response binary_answer(const google::protobuf::Message& message);

/// @return a 200 response whose body is the message as JSON
http_response json_answer(const google::protobuf::Message& message);

/// @return a plain-text response
http_response text_answer(int status, const std::string& text);

}  // namespace baobabrack::standin

#endif
