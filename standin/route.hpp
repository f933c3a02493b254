#ifndef BAOBABRACK_STANDIN_ROUTE_HPP
#define BAOBABRACK_STANDIN_ROUTE_HPP

#include <string>

#include "baobabrack/transport/http_server.hpp"

namespace google::protobuf {
class Message;
}

namespace baobabrack::standin {

/// @return whether a request has this method and first path segment
bool matches(const http_request& request, const std::string& method,
             const std::string& first_segment);

/// @return an answer whose body is the message in protobuf's binary form
http_response binary_answer(const google::protobuf::Message& message);

/// @return an answer whose body is the message as JSON
http_response json_answer(const google::protobuf::Message& message);

/// @return an answer of plain text
http_response text_answer(int status, const std::string& text);

}  // namespace baobabrack::standin

#endif
