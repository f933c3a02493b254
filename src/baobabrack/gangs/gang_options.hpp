#ifndef BAOBABRACK_GANGS_GANG_OPTIONS_HPP
#define BAOBABRACK_GANGS_GANG_OPTIONS_HPP

#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Leases and patience of the gang protocol. Every entry must have the same.
struct gang_options {
    /// A prepared task that is not started lapses after this long.
    duration prepare_lease = std::chrono::seconds{6};
    /// A running task that is not renewed stops after this long, on the worker's clock.
    duration task_lease = std::chrono::seconds{15};
    /// How long a commit may take before its gang is given up.
    duration commit_patience = std::chrono::seconds{3};
    /// How long the start of a committed gang is repeated before the gang is stopped.
    duration start_patience = std::chrono::seconds{4};
    /// Between two tries of a call or record that must get through.
    duration retry_interval = std::chrono::seconds{1};
    /// Between two exchanges with a worker.
    duration sync_interval = std::chrono::seconds{4};
    /// A worker that has not answered for this long is taken out of the fleet.
    duration silence_limit = std::chrono::seconds{12};
    /// A call is carried out within this long or never; a paused worker carries it out when it
    /// wakes, after it has looked at its leases.
    duration delivery_limit = std::chrono::seconds{5};
    /// An entry that has not known its replay to be current for this long renews no lease.
    duration renewal_limit = std::chrono::minutes{30};
    /// An entry that has not known its replay to be current for this long plans no gang.
    duration grant_limit = std::chrono::seconds{5};
    /// A plan for a job that another entry acts for is dropped after this long.
    duration foreign_plan_limit = std::chrono::seconds{5};
    /// Clocks of workers and entries may differ in rate by this many in a thousand.
    int clock_drift_permille = 10;

    /// @return how long after its last possible renewal a task has surely stopped
    duration lapse_wait() const {
        const auto nominal = delivery_limit + 2 * task_lease;
        return nominal + nominal * clock_drift_permille / 1000;
    }
};

}  // namespace baobabrack

#endif
