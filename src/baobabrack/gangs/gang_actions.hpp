#ifndef BAOBABRACK_GANGS_GANG_ACTIONS_HPP
#define BAOBABRACK_GANGS_GANG_ACTIONS_HPP

#include "baobabrack/records.pb.h"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

struct job;

/// What news of the workers leads to.
class gang_actions {
public:
    gang_actions() = default;
    gang_actions(const gang_actions&) = delete;
    gang_actions& operator=(const gang_actions&) = delete;
    virtual ~gang_actions() = default;

    /// Stops an attempt: records it, and stops the members at once.
    virtual void stop_gang(const job& gang, wire::StopReason reason) = 0;

    /// @return whether this entry is stopping the attempt, recorded or not
    virtual bool is_stopping(const job_id& job, attempt_number attempt) const = 0;

    /// Every member of the attempt has run to its end.
    virtual void gang_finished(const job& gang) = 0;

    /// @return how long this entry has known the attempt's commit
    virtual duration committed_for(const job& gang) const = 0;
};

}  // namespace baobabrack

#endif
