#include "baobabrack/node/ticket_submitter.hpp"

#include <utility>

#include "baobabrack/gangs/job_state.hpp"
#include "baobabrack/ledger/ticket_state.hpp"
#include "baobabrack/ledger/ticket_validator.hpp"
#include "baobabrack/placement/promise_check.hpp"

namespace baobabrack {

void ticket_submitter::submit(const wire::Ticket& ticket, const std::string& operator_name,
                              duration timeout, callback done) {
    if (auto problems = check(ticket); !problems.empty()) {
        done({.position = failure{failure_kind::invalid, "the ticket is not valid",
                                  "correct every error named and apply it again"},
              .problems = std::move(problems)});
        return;
    }
    wire::Record record;
    *record.mutable_ticket_accepted()->mutable_ticket() = ticket;
    record.mutable_ticket_accepted()->set_operator_(operator_name);
    records_.propose(std::move(record), timeout,
                     [done = std::move(done)](result<record_position> position) {
                         done({.position = std::move(position), .problems = {}});
                     });
}

std::vector<document_problem> ticket_submitter::check(const wire::Ticket& ticket) const {
    auto problems = validate_ticket(ticket, tickets_);
    if (!problems.empty()) {
        return problems;
    }
    if (const auto capacity = check_capacity(ticket); !capacity) {
        problems.push_back({"workspaces", capacity.error().message, capacity.error().remedy});
    }
    return problems;
}

std::vector<ticket_difference> ticket_submitter::diff(const wire::Ticket& ticket) const {
    return diff_ticket(ticket, tickets_.in_force());
}

result<void> ticket_submitter::check_capacity(const wire::Ticket& ticket) const {
    if (ticket.workspaces().empty() || jobs_.workers().workers().empty()) {
        // The ticket changes no guarantees, or no worker is known yet.
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    directory proposed = tickets_.in_force();
    proposed.apply(ticket);
    std::vector<promised_workspace> promised;
    for (const auto& [id, workspace] : proposed.workspaces()) {
        if (workspace.object.removed()) {
            continue;
        }
        const auto& guarantees = workspace.object.guarantees();
        promised.push_back(
            {.workspace = workspace_id{id}, .guarantees = {guarantees.begin(), guarantees.end()}});
    }
    return check_promises(promised, jobs_.workers());
}

}  // namespace baobabrack
