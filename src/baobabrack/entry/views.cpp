#include "baobabrack/entry/views.hpp"

#include <array>
#include <cstdio>

#include "baobabrack/ledger/ticket_diff.hpp"
#include "baobabrack/node/entry_node.hpp"

namespace baobabrack {

namespace {

/// @return the time since `past`; zero if `past` is later than `now`
std::uint64_t milliseconds_since(time_point past, time_point now) {
    const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(now - past).count();
    return elapsed < 0 ? 0 : static_cast<std::uint64_t>(elapsed);
}

wire::ProcessView view_self(const entry_node& node) {
    wire::ProcessView view;
    view.set_id(node.settings().id.get());
    view.set_role("entry");
    view.set_incarnation(node.settings().version.get());
    view.set_ticket_in_force(node.tickets().in_force().highest().get());
    view.set_next_offset(node.state().next_offset().get());
    view.set_alive(true);
    view.set_draining(node.draining());
    return view;
}

wire::ProcessView view_entry(const entry_node& node, const known_entry& entry, time_point now) {
    wire::ProcessView view;
    view.set_id(entry.id.get());
    view.set_role("entry");
    view.set_incarnation(entry.version.get());
    view.set_ticket_in_force(entry.ticket_in_force.get());
    view.set_next_offset(entry.next_offset.get());
    view.set_silent_ms(milliseconds_since(entry.last_heard, now));
    view.set_alive(node.entries().is_alive(entry));
    view.set_draining(entry.draining);
    return view;
}

wire::ProcessView view_guard(const entry_node& node, const known_guard& guard, time_point now) {
    wire::ProcessView view;
    view.set_id(guard.id);
    view.set_role("guard");
    view.set_incarnation(guard.version.get());
    view.set_ticket_in_force(guard.ticket_in_force.get());
    view.set_silent_ms(milliseconds_since(guard.last_heard, now));
    view.set_alive(node.guards().find(guard.target) != nullptr);
    view.set_draining(guard.draining);
    return view;
}

std::vector<wire::ProcessView> view_processes(const entry_node& node, time_point now) {
    std::vector<wire::ProcessView> views{view_self(node)};
    for (const auto& [id, entry] : node.entries().peers()) {
        views.push_back(view_entry(node, entry, now));
    }
    for (const auto& [target, guard] : node.guards().guards()) {
        views.push_back(view_guard(node, guard, now));
    }
    return views;
}

std::string hexadecimal(std::uint64_t value) {
    std::array<char, 17> text{};
    std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(value));
    return text.data();
}

}  // namespace

wire::TargetViewList view_targets(const entry_node& node, time_point now) {
    wire::TargetViewList list;
    for (const auto& [id, target] : node.targets().targets()) {
        auto& view = *list.add_items();
        *view.mutable_announcement() = target.facts;
        view.set_accepts_work(node.targets().accepts_work(target, now));
        view.set_silent_ms(milliseconds_since(target.last_heard, now));
        if (const auto* guard = node.guards().find(id)) {
            view.set_guard(guard->id);
        }
    }
    return list;
}

wire::ConfusedList view_confused(entry_node& node) {
    wire::ConfusedList list;
    for (const auto& row : node.requests().confused()) {
        auto& view = *list.add_items();
        view.set_word(row.word);
        view.set_region(row.region.get());
        view.set_workspace(row.workspace.get());
        view.set_nearest(row.nearest);
        view.set_since_ms(row.since.time_since_epoch().count());
        view.set_last_ms(row.last.time_since_epoch().count());
        view.set_requests(row.requests);
    }
    return list;
}

wire::TicketViewList view_tickets(const entry_node& node) {
    wire::TicketViewList list;
    for (const auto& [number, kept] : node.tickets().history()) {
        auto& view = *list.add_items();
        view.set_number(number.get());
        view.set_operator_(kept.operator_());
        view.set_offset(kept.offset());
        view.set_accepted_at_ms(kept.accepted_at_ms());
        view.set_note(kept.note());
        *view.mutable_touched() = kept.touched();
    }
    return list;
}

wire::TicketStatus view_ticket_status(const entry_node& node, ticket_number number,
                                      time_point now) {
    wire::TicketStatus status;
    status.set_number(number.get());
    const auto accepted = node.tickets().history().find(number);
    status.set_accepted(accepted != node.tickets().history().end());
    if (!status.accepted()) {
        return status;
    }
    for (auto& process : view_processes(node, now)) {
        // An entry applies tickets in log order, so a ticket is in force once the entry has
        // replayed past its record. A guard reports the highest ticket number that it has in force.
        const bool in_force = process.role() == "entry"
                                  ? process.next_offset() > accepted->second.offset()
                                  : process.ticket_in_force() >= number.get();
        if (in_force) {
            *status.add_in_force() = std::move(process);
        } else {
            *status.add_not_in_force() = std::move(process);
        }
    }
    return status;
}

wire::TicketDiff view_diff(const std::vector<ticket_difference>& differences) {
    wire::TicketDiff diff;
    for (const auto& difference : differences) {
        auto& view = *diff.add_items();
        view.set_kind(difference.kind);
        view.set_id(difference.id);
        view.set_change(std::string(to_string(difference.change)));
        view.set_present_ticket(difference.present.get());
        for (const auto& field : difference.fields) {
            view.add_fields(field);
        }
    }
    return diff;
}

wire::StatusView view_status(entry_node& node, time_point now, bool with_digest) {
    wire::StatusView view;
    const auto& settings = node.settings();
    view.set_id(settings.id.get());
    view.set_version(BAOBABRACK_VERSION);
    view.set_incarnation(settings.version.get());
    view.mutable_location()->set_region(settings.place.region.get());
    view.mutable_location()->set_data_centre(settings.place.data_centre.get());
    view.mutable_location()->set_rack(settings.place.rack.get());
    view.set_ready(node.ready());
    view.set_draining(node.draining());
    view.set_replica(std::string(to_string(node.state().phase())));
    if (node.state().trouble()) {
        view.set_trouble(node.state().trouble()->message);
    }
    view.set_log_healthy(node.state().healthy());
    view.set_log_silent_ms(milliseconds_since(now - node.state().since_last_read(), now));
    view.set_next_offset(node.state().next_offset().get());
    if (with_digest) {
        view.set_digest(hexadecimal(node.state().digest()));
    }
    view.set_ticket_in_force(node.tickets().in_force().highest().get());
    for (auto& process : view_processes(node, now)) {
        *view.add_processes() = std::move(process);
    }
    view.set_workers(static_cast<std::uint32_t>(node.jobs().workers().workers().size()));
    view.set_targets(static_cast<std::uint32_t>(node.targets().targets().size()));
    view.set_jobs_live(static_cast<std::uint32_t>(node.jobs().live()));
    view.set_requests_in_flight(static_cast<std::uint32_t>(node.requests().in_flight()));
    return view;
}

}  // namespace baobabrack
