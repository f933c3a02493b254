#ifndef BAOBABRACK_NODE_TICKET_SUBMITTER_HPP
#define BAOBABRACK_NODE_TICKET_SUBMITTER_HPP

#include <functional>
#include <string>
#include <vector>

#include "baobabrack/codec/strict_json.hpp"
#include "baobabrack/config.pb.h"
#include "baobabrack/ledger/proposer.hpp"
#include "baobabrack/ledger/ticket_diff.hpp"

namespace baobabrack {

class job_state;
class ticket_state;

/// Validates the tickets of operators and proposes them to the log.
class ticket_submitter {
public:
    /// Outcome of a submission: the position in the log, or the reason for the refusal.
    struct outcome {
        result<record_position> position;
        /// All errors of an invalid ticket.
        std::vector<document_problem> problems;
    };
    using callback = std::function<void(outcome)>;

    ticket_submitter(const ticket_state& tickets, const job_state& jobs, proposer& records)
        : tickets_(tickets), jobs_(jobs), records_(records) {}

    /// Validates a ticket and proposes it if it is valid.
    ///
    /// @param operator_name name of the operator who applies the ticket
    /// @param timeout       how long to wait until the ticket is in force at this entry
    /// @param done          called once, possibly before this function returns
    void submit(const wire::Ticket& ticket, const std::string& operator_name, duration timeout,
                callback done);

    /// @return all errors of the ticket, including guarantees that exceed the capacity
    std::vector<document_problem> check(const wire::Ticket& ticket) const;

    /// @return the changes that the ticket would make
    std::vector<ticket_difference> diff(const wire::Ticket& ticket) const;

private:
    result<void> check_capacity(const wire::Ticket& ticket) const;

    const ticket_state& tickets_;
    const job_state& jobs_;
    proposer& records_;
};

}  // namespace baobabrack

#endif
