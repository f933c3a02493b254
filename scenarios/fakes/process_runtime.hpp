#ifndef BAOBABRACK_FAKES_PROCESS_RUNTIME_HPP
#define BAOBABRACK_FAKES_PROCESS_RUNTIME_HPP

#include <deque>
#include <functional>
#include <memory>
#include <set>

#include "baobabrack/runtime/runtime.hpp"

namespace baobabrack::fakes {

/// The event loop of one process, which can be paused and destroyed: actions that come due during a
/// pause are deferred until `resume`, and actions that come due after its destruction are dropped.
class process_runtime : public runtime {
public:
    explicit process_runtime(runtime& loop)
        : loop_(loop), state_(std::make_shared<shared_state>()) {}
    ~process_runtime() override { state_->dead = true; }

    time_point now() const override { return loop_.now(); }
    wall_time wall_now() const override { return loop_.wall_now(); }
    timer_id schedule(duration delay, std::function<void()> action) override;
    void cancel(timer_id timer) override;
    std::uint64_t random() override { return loop_.random(); }

    void pause() { state_->paused = true; }
    void resume();
    bool paused() const { return state_->paused; }

    /// @return a callback that is deferred or dropped in the same way
    template <typename... Values>
    std::function<void(Values...)> wrap(std::function<void(Values...)> callback) {
        return [state = state_, callback = std::move(callback)](Values... values) {
            run_or_defer(*state, timer_id::none, [callback, values...] { callback(values...); });
        };
    }

private:
    struct deferred_action {
        timer_id timer;
        std::function<void()> action;
    };
    struct shared_state {
        bool paused = false;
        bool dead = false;
        std::deque<deferred_action> deferred;
    };

    static void run_or_defer(shared_state& state, timer_id timer, std::function<void()> action);

    runtime& loop_;
    std::shared_ptr<shared_state> state_;
};

}  // namespace baobabrack::fakes

#endif
