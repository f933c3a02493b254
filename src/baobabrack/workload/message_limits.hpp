#ifndef BAOBABRACK_WORKLOAD_MESSAGE_LIMITS_HPP
#define BAOBABRACK_WORKLOAD_MESSAGE_LIMITS_HPP

#include <cstddef>

namespace baobabrack::workload {

/// Maximum size of the orders in one message from the leader to a guard, in bytes. The leader sends
/// no larger ones, and a guard takes messages of this size.
inline constexpr std::size_t max_orders_bytes = 4UL << 20U;

/// Part of it for everything but the lists of runs, in bytes.
inline constexpr std::size_t orders_header_bytes = 64UL << 10U;

}  // namespace baobabrack::workload

#endif
