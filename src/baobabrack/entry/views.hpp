#ifndef BAOBABRACK_ENTRY_VIEWS_HPP
#define BAOBABRACK_ENTRY_VIEWS_HPP

#include <vector>

#include "baobabrack/api.pb.h"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

class entry_node;
struct job_view;
struct known_entry;
struct known_guard;
struct ticket_difference;

// Builds the messages that the HTTP interface returns for an entry's current state.
//
// `now` is the runtime's time; the `silent_ms` fields count the time up to it. In `view_jobs`, an
// empty `only` selects the jobs of every workspace.

wire::JobView view_job(const job_view& seen);
wire::JobList view_jobs(const entry_node& node, const workspace_id& only);
wire::WorkspaceList view_workspaces(const entry_node& node);
wire::WorkerViewList view_workers(const entry_node& node);
wire::TargetViewList view_targets(const entry_node& node, time_point now);
wire::ConfusedList view_confused(entry_node& node);
wire::TicketViewList view_tickets(const entry_node& node);
wire::TicketStatus view_ticket_status(const entry_node& node, ticket_number number, time_point now);
wire::StatusView view_status(entry_node& node, time_point now, bool with_digest);
wire::TicketDiff view_diff(const std::vector<ticket_difference>& differences);

}  // namespace baobabrack

#endif
