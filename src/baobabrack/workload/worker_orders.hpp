#ifndef BAOBABRACK_WORKLOAD_WORKER_ORDERS_HPP
#define BAOBABRACK_WORKLOAD_WORKER_ORDERS_HPP

#include <cstdint>
#include <string>
#include <vector>

#include "baobabrack/units/resources.hpp"
#include "baobabrack/workload/names.hpp"

namespace baobabrack::workload {

/// A run that the worker should execute.
struct start_order {
    task_name task;
    run_number run;
    std::string payload;
    std::string checkpoint;
    resources needs;
    /// Earlier runs of the task were lost with their workers, so the start is sent only to a worker
    /// that has just responded.
    bool confirm_worker = false;
};

struct stop_order {
    task_name task;
    run_number run;
};

/// The resources of a run that an earlier guard has started.
struct run_needs {
    task_name task;
    run_number run;
    resources needs;
};

/// The runs that a guard should start and stop on its worker.
struct worker_orders {
    worker_instance worker;
    /// Ended runs up to this sequence number are stored, so the worker may forget them.
    std::uint64_t ends_stored = 0;
    std::vector<start_order> starts;
    std::vector<stop_order> stops;
    /// Of the listed runs for which the guard does not know them.
    std::vector<run_needs> needs;
};

}  // namespace baobabrack::workload

#endif
