#ifndef BAOBABRACK_RUNTIME_SCOPED_TIMER_HPP
#define BAOBABRACK_RUNTIME_SCOPED_TIMER_HPP

#include <functional>

#include "baobabrack/runtime/runtime.hpp"

namespace baobabrack {

/// A timer that is cancelled when it is destroyed or armed again.
class scoped_timer {
public:
    explicit scoped_timer(runtime& loop) : loop_(&loop) {}
    scoped_timer(const scoped_timer&) = delete;
    scoped_timer& operator=(const scoped_timer&) = delete;
    ~scoped_timer() { cancel(); }

    /// Schedules `action`, replacing the one that is armed.
    void arm(duration delay, std::function<void()> action);

    /// Disarms the timer. Has no effect if it is not armed.
    void cancel();

    /// @return whether the timer is armed and has not fired
    bool armed() const { return timer_ != timer_id::none; }

private:
    runtime* loop_;
    timer_id timer_ = timer_id::none;
};

}  // namespace baobabrack

#endif
