#include "baobabrack/runtime/scoped_timer.hpp"

#include <utility>

namespace baobabrack {

void scoped_timer::arm(duration delay, std::function<void()> action) {
    cancel();
    timer_ = loop_->schedule(delay, [this, run = std::move(action)] {
        timer_ = timer_id::none;
        // The action may destroy this timer and with it this closure, so a copy runs.
        auto copy = run;
        copy();
    });
}

void scoped_timer::cancel() {
    if (timer_ == timer_id::none) {
        return;
    }
    loop_->cancel(timer_);
    timer_ = timer_id::none;
}

}  // namespace baobabrack
