#ifndef BAOBABRACK_DISPATCH_ISSUED_KEY_HPP
#define BAOBABRACK_DISPATCH_ISSUED_KEY_HPP

#include "baobabrack/units/failure.hpp"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Longest idempotency key that is taken, in bytes.
inline constexpr std::size_t longest_key = 128;

/// Reads the issue time that an idempotency key starts with.
///
/// @param key `<Unix milliseconds>-<anything>`, such as "1767225600000-7f3a9c"
/// @return `invalid` if the key has another form
result<wall_time> issue_time_of(const idempotency_key& key);

}  // namespace baobabrack

#endif
