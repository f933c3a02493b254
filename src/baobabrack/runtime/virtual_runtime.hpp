#ifndef BAOBABRACK_RUNTIME_VIRTUAL_RUNTIME_HPP
#define BAOBABRACK_RUNTIME_VIRTUAL_RUNTIME_HPP

#include <cstddef>
#include <map>
#include <random>
#include <unordered_map>
#include <utility>

#include "baobabrack/runtime/runtime.hpp"

namespace baobabrack {

/// A runtime on virtual time: events run in order of due time, then in order of scheduling.
class virtual_runtime : public runtime {
public:
    /// @param seed of the random number generator
    explicit virtual_runtime(std::uint64_t seed);

    time_point now() const override { return now_; }
    wall_time wall_now() const override;
    timer_id schedule(duration delay, std::function<void()> action) override;
    void cancel(timer_id timer) override;
    std::uint64_t random() override { return random_(); }

    /// Advances the time to the next event, if any, and runs it.
    ///
    /// @return whether an event ran
    bool step();

    /// Runs all events that are due up to and including `end`, then sets the time to `end`.
    void run_until(time_point end);

    /// Runs all events that are due within `span` from now.
    void run_for(duration span) { run_until(now_ + span); }

    /// @return the number of pending events
    std::size_t pending() const { return events_.size(); }

private:
    using event_key = std::pair<time_point, std::uint64_t>;

    time_point now_{};
    std::uint64_t next_timer_ = 1;
    std::map<event_key, std::function<void()>> events_;
    std::unordered_map<std::uint64_t, time_point> due_;
    std::mt19937_64 random_;
};

}  // namespace baobabrack

#endif
