#ifndef BAOBABRACK_NODE_ENTRY_RESPONSIBILITY_HPP
#define BAOBABRACK_NODE_ENTRY_RESPONSIBILITY_HPP

#include "baobabrack/gangs/responsibility.hpp"

namespace baobabrack {

class entry_set;
class job_state;
class replica;
class roster;

/// Which jobs and workers this entry acts for: rendezvous hashing over the live entries, for a
/// worker over those of its region first. An entry that has not joined acts for nothing.
class entry_responsibility : public responsibility {
public:
    /// All of them must outlive this.
    entry_responsibility(const roster& live, const entry_set& joined, const job_state& jobs,
                         const replica& reader, incarnation version)
        : roster_(live), entry_set_(joined), jobs_(jobs), replica_(reader), version_(version) {}

    /// This process has joined anew under a higher incarnation.
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
