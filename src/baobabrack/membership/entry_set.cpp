#include "baobabrack/membership/entry_set.hpp"

namespace baobabrack {

bool entry_set::handles(const wire::Record& record) const {
    return record.has_entry_joined() || record.has_entry_left();
}

result<void> entry_set::apply(const wire::Record& record, const record_position& position) {
    ++change_count_;
    const auto retained_since = position.written_at - options_.departed_retention;
    std::erase_if(departed_, [&](const auto& item) {
        return item.second.written_at_ms() < retained_since.time_since_epoch().count();
    });
    if (record.has_entry_joined()) {
        return apply_join(record.entry_joined(), position);
    }
    return apply_leave(record.entry_left(), position);
}

result<void> entry_set::apply_join(const wire::EntryJoined& joined,
                                   const record_position& position) {
    const entry_id id{joined.entry()};
    const auto known = entries_.find(id);
    if (known != entries_.end()) {
        if (known->second.joined().incarnation() >= joined.incarnation()) {
            return failure{failure_kind::conflict, "this or a newer incarnation has joined already",
                           "give every entry an id of its own"};
        }
        record_departure(known->second.joined(), position, true);
    }
    if (departed_.contains({id, incarnation{joined.incarnation()}})) {
        return failure{failure_kind::fenced, "this incarnation has been removed",
                       "join with a newer incarnation"};
    }
    wire::KeptEntry member;
    *member.mutable_joined() = joined;
    member.set_offset(position.offset.get());
    entries_.insert_or_assign(id, std::move(member));
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

result<void> entry_set::apply_leave(const wire::EntryLeft& left, const record_position& position) {
    const entry_id id{left.entry()};
    const incarnation version{left.incarnation()};
    if (left.drained() && departed_.erase({id, version}) > 0) {
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    if (!is_joined(id, version)) {
        return failure{failure_kind::not_found, "this incarnation is not joined", "ignore it"};
    }
    const auto known = entries_.find(id);
    if (!left.drained()) {
        record_departure(known->second.joined(), position, false);
    }
    entries_.erase(known);
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

void entry_set::record_departure(const wire::EntryJoined& departing,
                                 const record_position& position, bool replaced) {
    wire::DepartedEntry departure;
    departure.set_entry(departing.entry());
    departure.set_incarnation(departing.incarnation());
    departure.set_offset(position.offset.get());
    departure.set_written_at_ms(position.written_at.time_since_epoch().count());
    departure.set_replaced(replaced);
    *departure.mutable_location() = departing.location();
    departed_.insert_or_assign({entry_id{departing.entry()}, incarnation{departing.incarnation()}},
                               std::move(departure));
}

const wire::KeptEntry* entry_set::find(const entry_id& entry) const {
    const auto known = entries_.find(entry);
    return known == entries_.end() ? nullptr : &known->second;
}

bool entry_set::is_joined(const entry_id& entry, incarnation version) const {
    const auto* known = find(entry);
    return known != nullptr && known->joined().incarnation() == version.get();
}

std::string entry_set::save() const {
    wire::EntriesState state;
    for (const auto& [id, member] : entries_) {
        *state.add_entries() = member;
    }
    for (const auto& [key, departure] : departed_) {
        *state.add_departed() = departure;
    }
    return state.SerializeAsString();
}

result<void> entry_set::load(std::string_view data) {
    wire::EntriesState state;
    if (!state.ParseFromArray(data.data(), static_cast<int>(data.size()))) {
        return failure{failure_kind::invalid, "the entries section cannot be parsed",
                       "use an older snapshot"};
    }
    ++change_count_;
    entries_.clear();
    departed_.clear();
    for (const auto& member : state.entries()) {
        entries_.emplace(entry_id{member.joined().entry()}, member);
    }
    for (const auto& departure : state.departed()) {
        departed_.emplace(
            incarnation_key{entry_id{departure.entry()}, incarnation{departure.incarnation()}},
            departure);
    }
    return BOOST_OUTCOME_V2_NAMESPACE::success();
}

}  // namespace baobabrack
