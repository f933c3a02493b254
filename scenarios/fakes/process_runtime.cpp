#include "fakes/process_runtime.hpp"

#include <algorithm>
#include <utility>

namespace baobabrack::fakes {

timer_id process_runtime::schedule(duration delay, std::function<void()> action) {
    // The action needs the id of its timer, which is known only once the timer is scheduled.
    auto id = std::make_shared<timer_id>(timer_id::none);
    *id = loop_.schedule(delay, [state = state_, id, action = std::move(action)] {
        run_or_defer(*state, *id, action);
    });
    return *id;
}

void process_runtime::cancel(timer_id timer) {
    loop_.cancel(timer);
    auto& deferred = state_->deferred;
    deferred.erase(std::remove_if(deferred.begin(), deferred.end(),
                                  [&](const deferred_action& queued) {
                                      return timer != timer_id::none && queued.timer == timer;
                                  }),
                   deferred.end());
}

void process_runtime::resume() {
    state_->paused = false;
    const auto state = state_;
    while (!state->deferred.empty() && !state->paused && !state->dead) {
        const auto next = std::move(state->deferred.front());
        state->deferred.pop_front();
        next.action();
    }
}

void process_runtime::run_or_defer(shared_state& state, timer_id timer,
                                   std::function<void()> action) {
    if (state.dead) {
        return;
    }
    if (state.paused) {
        state.deferred.push_back({timer, std::move(action)});
        return;
    }
    action();
}

}  // namespace baobabrack::fakes
