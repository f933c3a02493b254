#include "baobabrack/guard/fence_table.hpp"

namespace baobabrack {

fence_table::admission fence_table::admit(const key& claimed, log_offset token, time_point now) {
    const auto found = entries_.find(claimed);
    if (found == entries_.end()) {
        set_phase(claimed, phase::running, token, now);
        return admission::admitted;
    }
    switch (found->second.current_phase) {
        case phase::running:
        case phase::unknown:
            return admission::running;
        case phase::has_run:
            return admission::has_run;
        case phase::fenced:
            return admission::fenced;
    }
    return admission::fenced;
}

void fence_table::finish(const key& claimed, ran_state ran, time_point now) {
    const auto found = entries_.find(claimed);
    if (found == entries_.end()) {
        return;
    }
    switch (ran) {
        case ran_state::no:
            entries_.erase(found);
            return;
        case ran_state::yes:
            set_phase(claimed, phase::has_run, found->second.token, now);
            return;
        case ran_state::unknown:
            set_phase(claimed, phase::unknown, found->second.token, now);
            return;
    }
}

ran_state fence_table::fence(const key& claimed, log_offset token, time_point now) {
    const auto found = entries_.find(claimed);
    if (found == entries_.end()) {
        set_phase(claimed, phase::fenced, token, now);
        return ran_state::no;
    }
    switch (found->second.current_phase) {
        case phase::running:
        case phase::unknown:
            return ran_state::unknown;
        case phase::has_run:
            return ran_state::yes;
        case phase::fenced:
            return ran_state::no;
    }
    return ran_state::unknown;
}

void fence_table::expire(time_point now) {
    while (!changes_.empty() && now - changes_.front().first > options_.retention) {
        const auto [changed_at, claimed] = std::move(changes_.front());
        changes_.pop_front();
        const auto found = entries_.find(claimed);
        const bool is_latest_change =
            found != entries_.end() && found->second.changed_at == changed_at;
        if (is_latest_change && found->second.current_phase != phase::running) {
            entries_.erase(found);
        }
    }
}

void fence_table::set_phase(const key& claimed, phase new_phase, log_offset token, time_point now) {
    entries_[claimed] = {.current_phase = new_phase, .token = token, .changed_at = now};
    changes_.emplace_back(now, claimed);
}

}  // namespace baobabrack
