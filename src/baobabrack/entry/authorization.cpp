#include "baobabrack/entry/authorization.hpp"

namespace baobabrack {

namespace {

constexpr std::string_view bearer_prefix = "Bearer ";

/// Compares two tokens of equal length in constant time, so that the response time does not
/// reveal how many leading characters of a guessed token are correct.
bool equal_in_constant_time(std::string_view left, std::string_view right) {
    if (left.size() != right.size()) {
        return false;
    }
    unsigned difference = 0;
    for (std::size_t i = 0; i < left.size(); ++i) {
        difference |= static_cast<unsigned char>(left[i]) ^ static_cast<unsigned char>(right[i]);
    }
    return difference == 0;
}

failure forbidden() {
    return {failure_kind::forbidden, "this call needs an operator's token",
            "send the header \"Authorization: Bearer TOKEN\" with a token from the entry's "
            "settings"};
}

}  // namespace

result<std::string> authorization::authenticate(std::string_view header) const {
    if (settings_.keys().empty()) {
        return std::string("anonymous");
    }
    if (!header.starts_with(bearer_prefix)) {
        return forbidden();
    }
    const auto token = header.substr(bearer_prefix.size());
    for (const auto& key : settings_.keys()) {
        if (equal_in_constant_time(key.token(), token)) {
            return key.operator_();
        }
    }
    return forbidden();
}

}  // namespace baobabrack
