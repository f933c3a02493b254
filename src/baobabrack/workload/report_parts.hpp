#ifndef BAOBABRACK_WORKLOAD_REPORT_PARTS_HPP
#define BAOBABRACK_WORKLOAD_REPORT_PARTS_HPP

#include <cstddef>
#include <optional>
#include <vector>

#include "baobabrack/workload.pb.h"
#include "baobabrack/workload/message_limits.hpp"

namespace baobabrack::workload {

struct report_limits {
    /// Of each part, in bytes.
    std::size_t max_bytes = max_report_bytes;
    std::size_t max_parts = max_report_parts;
};

/// Divides a report into messages, each with the header of the report and a part of its lists. Ends
/// and refusals go before runs. What exceeds the last part is left out.
///
/// @return the parts; at least one
std::vector<wire::WorkloadReport> split_report(const wire::WorkloadReport& report,
                                               const report_limits& limits = {});

/// Puts the parts of a guard's reports together.
class report_assembler {
public:
    /// Adds a part. The parts of an earlier report that is not complete are discarded.
    ///
    /// @return the whole report, if this is its last part
    std::optional<wire::WorkloadReport> add(const wire::WorkloadReport& part);

    /// Discards an incomplete report.
    void clear();

    /// @return the size of the incomplete report, in bytes
    std::size_t bytes() const { return bytes_; }

private:
    wire::WorkloadReport report_;
    std::uint32_t next_part_ = 0;
    std::size_t bytes_ = 0;
};

}  // namespace baobabrack::workload

#endif
