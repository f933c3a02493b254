#ifndef BAOBABRACK_WORKLOAD_REPORT_CODEC_HPP
#define BAOBABRACK_WORKLOAD_REPORT_CODEC_HPP

#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::wire {
class WorkloadOrders;
class WorkloadReport;
}  // namespace baobabrack::wire

namespace baobabrack::workload {

/// Decodes a report without its header, which holds the sequence number, the clock and the term.
worker_report from_wire(const wire::WorkloadReport& message);

/// Encodes into a message; the header of the message is left unchanged.
void to_wire(const worker_report& report, wire::WorkloadReport& message);
void to_wire(const worker_orders& orders, wire::WorkloadOrders& message);

/// Decodes orders without their header.
worker_orders from_wire(const host_id& host, const wire::WorkloadOrders& message);

}  // namespace baobabrack::workload

#endif
