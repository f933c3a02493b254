#include "baobabrack/dispatch/issued_key.hpp"

#include <charconv>
#include <string_view>

namespace baobabrack {

result<wall_time> issue_time_of(const idempotency_key& key) {
    const std::string_view text = key.get();
    const auto dash = text.find('-');
    std::int64_t milliseconds = 0;
    const auto* digits_end = text.data() + (dash == std::string_view::npos ? 0 : dash);
    const auto [end, error] = std::from_chars(text.data(), digits_end, milliseconds);
    const bool whole = error == std::errc{} && end == digits_end && milliseconds > 0;
    if (!whole || dash + 1 == text.size() || text.size() > longest_key) {
        return failure{failure_kind::invalid, "the idempotency key carries no issue time",
                       "send <Unix milliseconds>-<random>, at most 128 bytes"};
    }
    return wall_time{std::chrono::milliseconds{milliseconds}};
}

}  // namespace baobabrack
