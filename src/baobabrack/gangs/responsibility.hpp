#ifndef BAOBABRACK_GANGS_RESPONSIBILITY_HPP
#define BAOBABRACK_GANGS_RESPONSIBILITY_HPP

#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Which entry acts for a job or a worker. This is a preference only: two entries that act at
/// once, or none for a while, break nothing.
class responsibility {
public:
    responsibility() = default;
    responsibility(const responsibility&) = delete;
    responsibility& operator=(const responsibility&) = delete;
    virtual ~responsibility() = default;

    /// @return whether this entry plans, starts and stops the job's gang
    virtual bool is_mine(const job_id& job) const = 0;

    /// @return whether this entry renews the leases on the worker
    virtual bool is_mine(const worker_id& worker) const = 0;

    /// @return whether every entry that might renew a lease has applied the log beyond the
    ///         offset; false if that is not known
    virtual bool all_past(log_offset offset) const = 0;

    /// @return for how long this entry has not known its replay to be current; counts suspend,
    ///         and is the longest duration before the first time
    virtual duration unconfirmed() const = 0;
};

}  // namespace baobabrack

#endif
