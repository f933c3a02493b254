#include "baobabrack/ledger/ticket_state.hpp"

#include <xxhash.h>

#include <iterator>
#include <utility>

namespace baobabrack {

namespace {

std::uint64_t digest(const wire::Ticket& ticket) {
    const auto bytes = ticket.SerializeAsString();
    return XXH3_64bits(bytes.data(), bytes.size());
}

template <typename Objects>
void name_all(wire::TicketSummary& summary, const std::string& kind, const Objects& objects) {
    for (const auto& object : objects) {
        summary.add_touched(kind + " " + object.id());
    }
}

wire::TicketSummary summarise(const wire::TicketAccepted& accepted,
                              const record_position& position) {
    const auto& ticket = accepted.ticket();
    wire::TicketSummary summary;
    summary.set_number(ticket.number());
    summary.set_operator_(accepted.operator_());
    summary.set_offset(position.offset.get());
    summary.set_accepted_at_ms(position.written_at.time_since_epoch().count());
    summary.set_note(ticket.note());
    summary.set_digest(digest(ticket));
    name_all(summary, "service", ticket.services());
    name_all(summary, "workspace", ticket.workspaces());
    name_all(summary, "region", ticket.regions());
    name_all(summary, "link", ticket.links());
    return summary;
}

failure number_used(const wire::TicketSummary& winner) {
    return {failure_kind::conflict,
            "ticket " + std::to_string(winner.number()) + " is already accepted from " +
                winner.operator_() + " at offset " + std::to_string(winner.offset()) +
                (winner.note().empty() ? "" : " (\"" + winner.note() + "\")"),
            "look at what it changed and give yours a higher number"};
}

failure number_void(ticket_number number, ticket_number floor) {
    return {failure_kind::conflict,
            "ticket number " + std::to_string(number.get()) + " is void: numbers up to " +
                std::to_string(floor.get()) + " are closed",
            "give the ticket a number above the highest accepted one"};
}

}  // namespace

bool ticket_state::handles(const wire::Record& record) const {
    return record.has_ticket_accepted();
}

result<void> ticket_state::check_number(ticket_number number) const {
    if (number == ticket_number{0}) {
        return failure{failure_kind::invalid, "a ticket's number must be 1 or higher",
                       "give the ticket a number above the highest accepted one"};
    }
    if (number <= floor_) {
        return number_void(number, floor_);
    }
    if (const auto winner = history_.find(number); winner != history_.end()) {
        return number_used(winner->second);
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

// Only rules that never change stand here: old and new versions must agree on every record.
result<void> ticket_state::apply(const wire::Record& record, const record_position& position) {
    const auto& accepted = record.ticket_accepted();
    const ticket_number number{accepted.ticket().number()};
    if (auto free = check_number(number); !free) {
        const auto winner = history_.find(number);
        const auto repeated = winner != history_.end() &&
                              winner->second.operator_() == accepted.operator_() &&
                              winner->second.digest() == digest(accepted.ticket());
        return repeated ? result<void>(BOOST_OUTCOME_V2_NAMESPACE::success()) : std::move(free);
    }
    in_force_.apply(accepted.ticket());
    history_.emplace(number, summarise(accepted, position));
    if (history_.size() > options_.history + options_.history_slack) {
        forget_oldest();
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void ticket_state::forget_oldest() {
    const auto surplus = history_.size() - options_.history;
    const auto first_kept =
        std::next(history_.begin(), static_cast<history_map::difference_type>(surplus));
    floor_ = std::prev(first_kept)->first;
    history_.erase(history_.begin(), first_kept);
    in_force_.prune_removed(floor_);
}

std::string ticket_state::save() const {
    wire::TicketSection section;
    for (auto& ticket : in_force_.to_tickets()) {
        *section.add_in_force() = std::move(ticket);
    }
    for (const auto& [number, summary] : history_) {
        *section.add_history() = summary;
    }
    section.set_floor(floor_.get());
    return section.SerializeAsString();
}

result<void> ticket_state::load(std::string_view data) {
    wire::TicketSection section;
    if (!section.ParseFromArray(data.data(), static_cast<int>(data.size()))) {
        return failure{failure_kind::invalid, "section \"tickets\" of the snapshot is damaged",
                       "take another snapshot or replay the log"};
    }
    directory loaded;
    for (const auto& ticket : section.in_force()) {
        loaded.apply(ticket);
    }
    in_force_ = std::move(loaded);
    history_.clear();
    for (const auto& summary : section.history()) {
        history_.emplace(ticket_number{summary.number()}, summary);
    }
    floor_ = ticket_number{section.floor()};
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace baobabrack
