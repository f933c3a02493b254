#ifndef BAOBABRACK_WORKLOAD_MESSAGE_LIMITS_HPP
#define BAOBABRACK_WORKLOAD_MESSAGE_LIMITS_HPP

#include <algorithm>
#include <cstddef>

/// Limits of the messages between schedulers and guards. Senders stay within them, and receivers
/// take messages of this size.
namespace baobabrack::workload {

/// Maximum size of a message with orders to a guard, in bytes.
inline constexpr std::size_t max_orders_bytes = 4UL << 20U;

/// Part of it for everything but the lists of runs, in bytes.
inline constexpr std::size_t orders_header_bytes = 64UL << 10U;

/// Maximum size of a message with a report of a guard, or with a part of one, in bytes.
inline constexpr std::size_t max_report_bytes = 256UL << 10U;

/// Maximum number of messages for one report.
inline constexpr std::size_t max_report_parts = 16;

/// Part of a message to a scheduler for everything but its content, in bytes.
inline constexpr std::size_t message_overhead_bytes = 32UL << 10U;

/// @param record_bytes largest record of the store, which a scheduler may forward
/// @return the maximum size of a message to a scheduler, in bytes
constexpr std::size_t max_scheduler_message_bytes(std::size_t record_bytes) {
    return std::max(record_bytes, max_report_bytes) + message_overhead_bytes;
}

}  // namespace baobabrack::workload

#endif
