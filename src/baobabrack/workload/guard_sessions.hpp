#ifndef BAOBABRACK_WORKLOAD_GUARD_SESSIONS_HPP
#define BAOBABRACK_WORKLOAD_GUARD_SESSIONS_HPP

#include <cstdint>
#include <map>
#include <set>
#include <string>

#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::wire {
class WorkloadOrders;
class WorkloadReport;
}  // namespace baobabrack::wire

namespace baobabrack::workload {

/// What a leader knows of each guard that follows it: which process it is, its newest report, and
/// from where its fencing tokens begin.
class guard_sessions {
public:
    /// Forgets all guards and begins a term.
    void begin_term(std::uint64_t term);

    /// Takes a report, unless it is older than what is known.
    ///
    /// A guard's incarnation is its wall clock at its start, which may have been set back. So a
    /// lower one is taken, too, once the process with the higher one is silent.
    ///
    /// @return what the guard says, or null
    const worker_report* accept_report(const wire::WorkloadReport& message, time_point now);

    /// @return the newest report of a guard, or null if it has not joined
    const worker_report* find(const host_id& host) const;

    /// Numbers orders to a guard that has joined, and names the process and the report that they
    /// are for.
    void fill_header(const host_id& host, wire::WorkloadOrders& orders);

    /// @return whether each of these guards has told the lists of its worker
    bool all_lists_known(const std::set<std::string>& guards) const;

private:
    struct session {
        std::uint64_t guard_incarnation = 0;
        std::uint64_t last_sequence = 0;
        std::uint64_t token_base = 0;
        std::uint64_t orders_sent = 0;
        std::uint64_t report_sent_at_us = 0;
        time_point heard{};
        worker_report report;
    };

    bool is_new_process(const session& known, std::uint64_t incarnation, time_point now) const;

    std::map<host_id, session> sessions_;
    std::uint64_t term_ = 0;
    std::uint64_t opened_ = 0;
};

}  // namespace baobabrack::workload

#endif
