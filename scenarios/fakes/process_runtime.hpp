#ifndef BAOBABRACK_FAKES_PROCESS_RUNTIME_HPP
#define BAOBABRACK_FAKES_PROCESS_RUNTIME_HPP

#include <deque>
#include <functional>
#include <memory>
#include <set>

#include "baobabrack/runtime/runtime.hpp"

namespace baobabrack::fakes {

/// The loop as one process sees it, which may stand still for a while and may die: what comes in
/// meanwhile waits, and what comes in after its end is dropped.
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

    /// @return a callback that goes through the gate
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
