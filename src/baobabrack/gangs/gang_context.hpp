#ifndef BAOBABRACK_GANGS_GANG_CONTEXT_HPP
#define BAOBABRACK_GANGS_GANG_CONTEXT_HPP

#include "baobabrack/gangs/gang_options.hpp"

namespace baobabrack {

class job_state;
class metrics_registry;
class planner;
class proposer;
class responsibility;
class runtime;
class worker_service;

/// What the parts of the gang protocol work with; everything outlives them.
struct gang_context {
    job_state& state;
    planner& planning;
    worker_service& workers;
    proposer& records;
    runtime& loop;
    const responsibility& duty;
    metrics_registry& metrics;
    gang_options options;

    /// @return whether this entry's view is new enough to renew leases and to judge workers
    bool may_act() const;

    /// @return whether this entry's view is new enough to plan gangs
    bool may_grant() const;
};

}  // namespace baobabrack

#endif
