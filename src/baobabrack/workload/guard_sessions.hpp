#ifndef BAOBABRACK_WORKLOAD_GUARD_SESSIONS_HPP
#define BAOBABRACK_WORKLOAD_GUARD_SESSIONS_HPP

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "baobabrack/workload/report_parts.hpp"
#include "baobabrack/workload/scheduler.hpp"

namespace baobabrack::wire {
class WorkloadOrders;
class WorkloadReport;
}  // namespace baobabrack::wire

namespace baobabrack::workload {

/// The leader's sessions with the guards that follow it. A session holds the guard process, its
/// latest report, and the base of its fencing tokens.
class guard_sessions {
public:
    /// Removes all sessions and starts a term.
    void begin_term(std::uint64_t term);

    /// Accepts a report unless it is older than the latest one.
    ///
    /// A guard's incarnation is its host's wall clock at the start of the process, and that clock
    /// may have been set back. A lower incarnation is therefore accepted as well once the process
    /// with the higher one is silent.
    ///
    /// @return the decoded report, or null if it was not accepted or further parts of it have to
    ///         arrive
    const worker_report* accept_report(const wire::WorkloadReport& message, time_point now);

    /// @return the latest report of a guard, or null if it has not joined
    const worker_report* find(const host_id& host) const;

    /// Sets the header of orders to a guard that has joined: their sequence number, and the guard
    /// process and the report that they respond to.
    void fill_header(const host_id& host, wire::WorkloadOrders& orders);

    /// @return when the latest report of a guard that has joined arrived
    time_point last_heard(const host_id& host) const { return sessions_.at(host).last_heard; }

    /// Records whether the lease of the guard's worker may be extended in reply to its latest
    /// report.
    void set_lease_extendable(const host_id& host, bool extendable);
    bool is_lease_extendable(const host_id& host) const;

    /// @return whether each of these guards has reported its worker's lists in this term
    bool all_lists_known(const std::set<std::string>& guards) const;

private:
    struct session {
        std::uint64_t guard_incarnation = 0;
        std::uint64_t last_sequence = 0;
        std::uint64_t token_base = 0;
        std::uint64_t orders_sent = 0;
        std::uint64_t report_sent_at_us = 0;
        time_point last_heard{};
        bool lease_extendable = false;
        worker_report report;
        /// A report of which some parts have not arrived.
        report_assembler incomplete;
    };

    bool has_room(time_point now);
    std::size_t incomplete_bytes() const;
    std::optional<wire::WorkloadReport> assemble(session& from, const wire::WorkloadReport& part);
    bool is_new_process(const session& known, std::uint64_t incarnation, time_point now) const;

    std::map<host_id, session> sessions_;
    std::uint64_t term_ = 0;
    std::uint64_t session_count_ = 0;
};

}  // namespace baobabrack::workload

#endif
