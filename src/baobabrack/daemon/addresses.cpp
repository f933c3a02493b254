#include "baobabrack/daemon/addresses.hpp"

namespace baobabrack {

http_endpoint to_endpoint(const std::string& text) {
    const auto endpoint = parse_endpoint(text);
    return endpoint ? endpoint.value() : http_endpoint{};
}

}  // namespace baobabrack
