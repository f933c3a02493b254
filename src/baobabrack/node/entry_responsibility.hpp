#ifndef BAOBABRACK_NODE_ENTRY_RESPONSIBILITY_HPP
#define BAOBABRACK_NODE_ENTRY_RESPONSIBILITY_HPP

#include "baobabrack/gangs/responsibility.hpp"

namespace baobabrack {

class entry_set;
class job_state;
class replica;
class roster;

/// Determines the jobs and workers that this entry is responsible for, by rendezvous hashing over
/// the active entries; for a worker, entries of its region take precedence. An entry that has not
/// joined is responsible for nothing.
class entry_responsibility : public responsibility {
public:
    /// All referenced objects must outlive this one.
    entry_responsibility(const roster& peers, const entry_set& entries, const job_state& jobs,
                         const replica& state, incarnation version)
        : roster_(peers), entry_set_(entries), jobs_(jobs), replica_(state), version_(version) {}

    /// Sets the higher incarnation with which this process has joined again.
    void rejoined(incarnation version) { version_ = version; }

    bool is_mine(const job_id& job) const override;
    bool is_mine(const worker_id& worker) const override;
    bool all_past(log_offset offset) const override;
    duration unconfirmed() const override;

private:
    bool has_joined() const;

    const roster& roster_;
    const entry_set& entry_set_;
    const job_state& jobs_;
    const replica& replica_;
    incarnation version_;
};

}  // namespace baobabrack

#endif
