#ifndef BAOBABRACK_TRANSPORT_EVENT_RUNTIME_HPP
#define BAOBABRACK_TRANSPORT_EVENT_RUNTIME_HPP

#include <map>
#include <memory>
#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

#include "baobabrack/runtime/runtime.hpp"
#include "baobabrack/transport/event_handles.hpp"

namespace baobabrack {

/// A runtime based on libevent. Its clock and timers include time spent in suspend.
class event_runtime : public runtime {
public:
    /// @param seed seed of the random number generator
    explicit event_runtime(std::uint64_t seed);
    ~event_runtime() override;

    time_point now() const override;
    wall_time wall_now() const override;
    timer_id schedule(duration delay, std::function<void()> action) override;
    void cancel(timer_id timer) override;
    std::uint64_t random() override { return random_(); }

    /// Runs the loop until `stop` is called.
    void run();

    /// Makes `run` return after the events of the current loop iteration.
    void stop();

    /// Calls an action from the event loop each time the process receives a signal.
    ///
    /// @param number a signal such as SIGTERM
    void on_signal(int signal_number, std::function<void()> action);

    /// @return the libevent base, on which transports register their events
    event_base* base() { return base_.get(); }

private:
    using timer_key = std::pair<time_point, std::uint64_t>;
    struct signal_handler;

    static void handle_timer(int descriptor, short what, void* self);
    static void handle_signal(int signal_number, short what, void* handler);
    void run_due_actions();
    void arm_timer();

    event_base_handle base_;
    file_descriptor timer_;
    event_handle timer_event_;
    std::vector<std::unique_ptr<signal_handler>> signal_handlers_;
    std::uint64_t next_timer_ = 1;
    std::map<timer_key, std::function<void()>> pending_actions_;
    std::unordered_map<std::uint64_t, time_point> due_times_;
    time_point armed_for_ = time_point::max();
    bool running_due_actions_ = false;
    std::mt19937_64 random_;
};

}  // namespace baobabrack

#endif
