#include "baobabrack/membership/target_registry.hpp"

namespace baobabrack {

bool target_registry::handle_announcement(const wire::TargetAnnouncement& announcement,
                                          time_point now) {
    const target_id id{announcement.target()};
    auto [found, inserted] = targets_.try_emplace(id);
    auto& known = found->second;
    if (inserted || known.facts.incarnation() < announcement.incarnation()) {
        ++change_count_;
        known = {.facts = announcement, .first_heard = now, .last_heard = now};
        return true;
    }
    if (announcement.incarnation() < known.facts.incarnation() ||
        announcement.sequence() <= known.facts.sequence()) {
        return false;
    }
    const bool leaving = known.facts.leaving() || announcement.leaving();
    if (leaving != known.facts.leaving()) {
        ++change_count_;
    }
    known.facts = announcement;
    known.facts.set_leaving(leaving);
    known.last_heard = now;
    return true;
}

void target_registry::expire(time_point now) {
    change_count_ += std::erase_if(targets_, [&](const auto& item) {
        return now - item.second.last_heard > options_.retention;
    });
}

const known_target* target_registry::find(const target_id& id) const {
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : &found->second;
}

bool target_registry::accepts_work(const known_target& target, time_point now) const {
    return !target.facts.leaving() && now - target.last_heard <= options_.silence_limit;
}

}  // namespace baobabrack
