#include "baobabrack/workload/scheduler_node_limits.hpp"

#include <algorithm>

#include "baobabrack/keyed/record_sizes.hpp"

namespace baobabrack::workload {

std::size_t max_value_size(const store_limits& limits, std::size_t key_size) {
    const auto record =
        std::min(limits.record_bytes, limits.request_bytes - leader_record_allowance);
    return record - std::min(record, key_size + record_overhead_bytes);
}

std::int64_t to_ms(duration span) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(span).count();
}

}  // namespace baobabrack::workload
