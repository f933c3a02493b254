#ifndef BAOBABRACK_ENTRY_ENTRY_METRICS_HPP
#define BAOBABRACK_ENTRY_ENTRY_METRICS_HPP

namespace baobabrack {

class entry_node;
class metrics_registry;

/// Sets the gauges of an entry's overall state: log, membership, fleet, jobs and requests.
void update_entry_metrics(entry_node& node, metrics_registry& metrics);

}  // namespace baobabrack

#endif
