#ifndef BAOBABRACK_KEYED_RECORD_SIZES_HPP
#define BAOBABRACK_KEYED_RECORD_SIZES_HPP

#include <cstddef>
#include <vector>

#include "baobabrack/keyed/keyed_log.hpp"

namespace baobabrack {

/// Allowance for the framing of a record on its way to the store, in bytes.
constexpr std::size_t record_overhead_bytes = 8;

/// @return the size of a record with its framing, in bytes
std::size_t framed_size(const keyed_record& record);

/// @return the sum over the records, in bytes
std::size_t framed_size(const std::vector<keyed_record>& records);

/// @return whether the store takes the record
bool fits(const store_limits& limits, const keyed_record& record);

/// @return whether the store takes the records in one append
bool fits(const store_limits& limits, const std::vector<keyed_record>& records);

}  // namespace baobabrack

#endif
