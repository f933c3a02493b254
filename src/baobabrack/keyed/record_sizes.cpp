#include "baobabrack/keyed/record_sizes.hpp"

#include <algorithm>
#include <numeric>

namespace baobabrack {

std::size_t framed_size(const keyed_record& record) {
    return record.key.size() + record.value.size() + record_overhead_bytes;
}

std::size_t framed_size(const std::vector<keyed_record>& records) {
    return std::accumulate(
        records.begin(), records.end(), std::size_t{0},
        [](std::size_t sum, const keyed_record& record) { return sum + framed_size(record); });
}

bool fits(const store_limits& limits, const keyed_record& record) {
    return framed_size(record) <= std::min(limits.record_bytes, limits.request_bytes);
}

bool fits(const store_limits& limits, const std::vector<keyed_record>& records) {
    return framed_size(records) <= limits.request_bytes &&
           std::all_of(records.begin(), records.end(),
                       [&](const keyed_record& record) { return fits(limits, record); });
}

}  // namespace baobabrack
