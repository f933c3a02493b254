#include "baobabrack/transport/event_runtime.hpp"

#include <event2/event.h>
#include <sys/timerfd.h>
#include <unistd.h>

#include <algorithm>
#include <csignal>
#include <ctime>
#include <stdexcept>

namespace baobabrack {

namespace {

constexpr std::int64_t us_per_second = 1'000'000;
constexpr std::int64_t ns_per_us = 1'000;

timespec to_timespec(time_point when) {
    const auto us = std::max<std::int64_t>(when.time_since_epoch().count(), 1);
    timespec spec{};
    spec.tv_sec = us / us_per_second;
    spec.tv_nsec = us % us_per_second * ns_per_us;
    return spec;
}

}  // namespace

struct event_runtime::signal_handler {
    std::function<void()> action;
    event_handle handle;
};

event_runtime::event_runtime(std::uint64_t seed)
    : base_(event_base_new()),
      timer_(timerfd_create(CLOCK_BOOTTIME, TFD_NONBLOCK | TFD_CLOEXEC)),
      random_(seed) {
    if (!base_ || timer_.get() < 0) {
        throw std::runtime_error("cannot create the event loop (raise the limit of open files)");
    }
    // libevent writes to sockets without MSG_NOSIGNAL, so that a write after the peer has closed
    // the connection would end the process.
    std::signal(SIGPIPE, SIG_IGN);
    timer_event_.reset(
        event_new(base_.get(), timer_.get(), EV_READ | EV_PERSIST, &handle_timer, this));
    event_add(timer_event_.get(), nullptr);
}

event_runtime::~event_runtime() = default;

time_point event_runtime::now() const {
    timespec spec{};
    clock_gettime(CLOCK_BOOTTIME, &spec);
    return time_point{duration{spec.tv_sec * us_per_second + spec.tv_nsec / ns_per_us}};
}

wall_time event_runtime::wall_now() const {
    return std::chrono::time_point_cast<std::chrono::milliseconds>(
        std::chrono::system_clock::now());
}

timer_id event_runtime::schedule(duration delay, std::function<void()> action) {
    const auto id = next_timer_++;
    const auto when = now() + std::max(delay, duration::zero());
    pending_actions_.emplace(timer_key{when, id}, std::move(action));
    due_times_.emplace(id, when);
    if (!running_due_actions_) {
        arm_timer();
    }
    return timer_id{id};
}

void event_runtime::cancel(timer_id timer) {
    const auto found = due_times_.find(static_cast<std::uint64_t>(timer));
    if (found == due_times_.end()) {
        return;
    }
    pending_actions_.erase(timer_key{found->second, found->first});
    due_times_.erase(found);
}

void event_runtime::run() {
    event_base_loop(base_.get(), EVLOOP_NO_EXIT_ON_EMPTY);
}

void event_runtime::stop() {
    event_base_loopexit(base_.get(), nullptr);
}

void event_runtime::on_signal(int signal_number, std::function<void()> action) {
    auto handler = std::make_unique<signal_handler>();
    handler->action = std::move(action);
    handler->handle.reset(evsignal_new(base_.get(), signal_number, &handle_signal, handler.get()));
    event_add(handler->handle.get(), nullptr);
    signal_handlers_.push_back(std::move(handler));
}

void event_runtime::handle_timer(int descriptor, short /*what*/, void* self) {
    std::uint64_t expirations = 0;
    // Nothing can be read if `arm_timer` activated the event without the timer expiring.
    [[maybe_unused]] const auto bytes_read = read(descriptor, &expirations, sizeof expirations);
    static_cast<event_runtime*>(self)->run_due_actions();
}

void event_runtime::handle_signal(int /*number*/, short /*what*/, void* handler) {
    static_cast<signal_handler*>(handler)->action();
}

// Runs the actions that are due when the loop iteration begins. Actions that these schedule without
// delay run in the next iteration, so that socket events are not starved.
void event_runtime::run_due_actions() {
    const timer_key limit{now(), next_timer_};
    running_due_actions_ = true;
    while (!pending_actions_.empty() && pending_actions_.begin()->first < limit) {
        auto next = pending_actions_.extract(pending_actions_.begin());
        due_times_.erase(next.key().second);
        next.mapped()();
    }
    running_due_actions_ = false;
    armed_for_ = time_point::max();
    arm_timer();
}

void event_runtime::arm_timer() {
    if (pending_actions_.empty() || pending_actions_.begin()->first.first >= armed_for_) {
        return;
    }
    armed_for_ = pending_actions_.begin()->first.first;
    if (armed_for_ <= now()) {
        event_active(timer_event_.get(), EV_READ, 1);
        return;
    }
    itimerspec spec{};
    spec.it_value = to_timespec(armed_for_);
    timerfd_settime(timer_.get(), TFD_TIMER_ABSTIME, &spec, nullptr);
}

}  // namespace baobabrack
