#ifndef BAOBABRACK_LEDGER_TICKET_STATE_HPP
#define BAOBABRACK_LEDGER_TICKET_STATE_HPP

#include <cstddef>
#include <map>

#include "baobabrack/ledger/replicated_state.hpp"
#include "baobabrack/records.pb.h"
#include "baobabrack/world/directory.hpp"

namespace baobabrack {

/// The tickets in force and the history of who had which accepted.
///
/// For each object the highest number that touched it wins, whatever the order. A number is
/// accepted once; the same ticket of the same operator again is taken as a retry and changes
/// nothing.
class ticket_state : public replicated_state {
public:
    struct options {
        /// Tickets whose numbers are remembered; the same at every entry. When there are more,
        /// the lowest numbers are dropped and become void.
        std::size_t history = 30'000;
        /// How many are dropped at once.
        std::size_t history_slack = 1'000;
    };
    using history_map = std::map<ticket_number, wire::TicketSummary>;

    explicit ticket_state(options opts) : options_(opts) {}

    std::string_view name() const override { return "tickets"; }
    bool handles(const wire::Record& record) const override;

    /// Refusals: `invalid` for number zero, `conflict` for a number that is used or void.
    result<void> apply(const wire::Record& record, const record_position& position) override;
    std::string save() const override;
    result<void> load(std::string_view data) override;

    const directory& in_force() const { return in_force_; }

    /// @return accepted tickets by number, the lowest of which may be missing
    const history_map& history() const { return history_; }

    /// @return numbers up to this one are used or void
    ticket_number floor() const { return floor_; }

    /// Tells whether a number is still free.
    ///
    /// @return success, or the refusal that names the winner
    result<void> check_number(ticket_number number) const;

private:
    void forget_oldest();

    options options_;
    directory in_force_;
    history_map history_;
    ticket_number floor_;
};

}  // namespace baobabrack

#endif
