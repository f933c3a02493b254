#ifndef BAOBABRACK_WORKLOAD_REPORT_CODEC_HPP
#define BAOBABRACK_WORKLOAD_REPORT_CODEC_HPP

#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::wire {
class WorkloadOrders;
class WorkloadReport;
}  // namespace baobabrack::wire

namespace baobabrack::workload {

/// @return the report without its envelope: sequence, clock, term
worker_report from_wire(const wire::WorkloadReport& message);

/// Fills the lists of a message; its envelope stays as it is.
void to_wire(const worker_report& report, wire::WorkloadReport& message);
void to_wire(const worker_orders& orders, wire::WorkloadOrders& message);

/// @return the lists of a message
worker_orders from_wire(const host_id& host, const wire::WorkloadOrders& message);

}  // namespace baobabrack::workload

#endif
