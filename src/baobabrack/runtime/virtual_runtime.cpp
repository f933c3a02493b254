#include "baobabrack/runtime/virtual_runtime.hpp"

#include <algorithm>

namespace baobabrack {

namespace {

// Virtual time starts at 2026-01-01T00:00:00Z.
constexpr wall_time virtual_epoch{std::chrono::milliseconds{1767225600000}};

}  // namespace

virtual_runtime::virtual_runtime(std::uint64_t seed) : random_(seed) {
}

wall_time virtual_runtime::wall_now() const {
    return virtual_epoch +
           std::chrono::duration_cast<std::chrono::milliseconds>(now_.time_since_epoch());
}

timer_id virtual_runtime::schedule(duration delay, std::function<void()> action) {
    const auto id = next_timer_++;
    const auto due = now_ + std::max(delay, duration::zero());
    events_.emplace(event_key{due, id}, std::move(action));
    due_.emplace(id, due);
    return timer_id{id};
}

void virtual_runtime::cancel(timer_id timer) {
    const auto found = due_.find(static_cast<std::uint64_t>(timer));
    if (found == due_.end()) {
        return;
    }
    events_.erase(event_key{found->second, found->first});
    due_.erase(found);
}

bool virtual_runtime::step() {
    if (events_.empty()) {
        return false;
    }
    auto next = events_.extract(events_.begin());
    now_ = next.key().first;
    due_.erase(next.key().second);
    next.mapped()();
    return true;
}

void virtual_runtime::run_until(time_point end) {
    while (!events_.empty() && events_.begin()->first.first <= end) {
        step();
    }
    now_ = std::max(now_, end);
}

}  // namespace baobabrack
