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

/// Takes operators' tickets: checks them whole and puts them into the log.
class ticket_submitter {
public:
    /// What became of a ticket: its position, or why it was refused.
    struct outcome {
        result<record_position> position;
        /// Every error of a ticket that is not valid.
        std::vector<document_problem> problems;
    };
    using callback = std::function<void(outcome)>;

    ticket_submitter(const ticket_state& tickets, const job_state& jobs, proposer& records)
        : tickets_(tickets), jobs_(jobs), records_(records) {}

    /// Checks a ticket and proposes it.
    ///
    /// @param operator_name who applies it
    /// @param patience      how long to wait until it is in force here
    /// @param done          runs once, possibly before this returns
    void submit(const wire::Ticket& ticket, const std::string& operator_name, duration timeout,
                callback done);

    /// @return every error of the ticket, promises that capacity cannot keep included
    std::vector<document_problem> check(const wire::Ticket& ticket) const;

    /// @return what the ticket would change
    std::vector<ticket_difference> diff(const wire::Ticket& ticket) const;

private:
    result<void> check_capacity(const wire::Ticket& ticket) const;

    const ticket_state& tickets_;
    const job_state& jobs_;
    proposer& records_;
};

}  // namespace baobabrack

#endif
