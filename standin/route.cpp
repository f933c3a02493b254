#include "standin/route.hpp"

#include <google/protobuf/message.h>

#include "baobabrack/codec/strict_json.hpp"

namespace baobabrack::standin {

bool matches(const http_request& request, const std::string& method,
             const std::string& first_segment) {
    return request.method == method && !request.segments.empty() &&
           request.segments[0] == first_segment;
}

http_response binary_answer(const google::protobuf::Message& message) {
    return {.status = 200,
            .headers = {{"Content-Type", "application/x-protobuf"}},
            .body = message.SerializeAsString()};
}

http_response json_answer(const google::protobuf::Message& message) {
    return {.status = 200,
            .headers = {{"Content-Type", "application/json"}},
            .body = print_json(message)};
}

http_response text_answer(int status, const std::string& text) {
    return {.status = status, .headers = {{"Content-Type", "text/plain"}}, .body = text + "\n"};
}

}  // namespace baobabrack::standin
