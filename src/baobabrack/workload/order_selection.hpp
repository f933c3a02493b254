#ifndef BAOBABRACK_WORKLOAD_ORDER_SELECTION_HPP
#define BAOBABRACK_WORKLOAD_ORDER_SELECTION_HPP

#include <cstddef>
#include <vector>

#include "baobabrack/workload/job_progress.hpp"
#include "baobabrack/workload/message_limits.hpp"
#include "baobabrack/workload/worker_orders.hpp"

namespace baobabrack::workload {

/// Limits of the orders in one message to a guard. What does not fit is in later orders, which
/// answer the guard's next reports.
struct order_limits {
    /// Maximum encoded size of all lists, in bytes.
    std::size_t max_bytes = max_orders_bytes - orders_header_bytes;
    /// Maximum encoded size of the starts, in bytes. They are repeated until the guard has reported
    /// them.
    std::size_t max_start_bytes = 256UL << 10U;
    /// How many starts a guard may have sent to its worker without an answer. Calls that wait for a
    /// connection to the worker use up their time limit.
    std::size_t max_pending_starts = 64;
};

/// A run that a guard has not reported yet.
struct start_candidate {
    const job_spec* job = nullptr;
    const step_spec* step = nullptr;
    const task_progress* task = nullptr;
    task_name name;
};

/// @return an upper bound of the encoded size of an order, in bytes
std::size_t max_encoded_bytes(const start_candidate& start);
std::size_t max_encoded_bytes(const stop_order& stop);
std::size_t max_encoded_bytes(const run_needs& needs);

/// Orders candidates so that the workspaces take turns, and within each workspace its jobs.
std::vector<start_candidate> take_turns(std::vector<start_candidate> candidates);

/// Shortens the lists of orders to what fits into one message, and adds starts. Without the needs
/// of all runs a guard cannot tell whether another one has room, and stops free capacity, so starts
/// are added only if everything else fits.
///
/// @param candidates     the runs to start
/// @param pending_starts how many starts the guard has sent that the worker has not answered
void select_orders(worker_orders& orders, std::vector<start_candidate> candidates,
                   std::size_t pending_starts, const order_limits& limits);

}  // namespace baobabrack::workload

#endif
