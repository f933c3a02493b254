#ifndef BAOBABRACK_GUARD_FENCE_TABLE_HPP
#define BAOBABRACK_GUARD_FENCE_TABLE_HPP

#include <cstddef>
#include <deque>
#include <map>
#include <string>
#include <utility>

#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/ran_state.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// Tracks which claimed keys are running at one target, have run there, or must not run any more.
///
/// The table covers one incarnation of its guard. A key that is not in the table has not run under
/// this incarnation, unless the key has expired.
class fence_table {
public:
    struct options {
        /// How long a key is kept after its last change.
        duration retention = std::chrono::minutes{30};
    };

    struct key {
        workspace_id workspace;
        idempotency_key name;

        friend auto operator<=>(const key&, const key&) = default;
    };

    /// Result of `admit`: the request may start, or the state of its key that prevents it.
    enum class admission { admitted, running, has_run, fenced };

    explicit fence_table(options opts) : options_(opts) {}

    /// Records the start of a key's run, unless the key was started or fenced before.
    admission admit(const key& claimed, log_offset token, time_point now);

    /// Records the end of a started key's exchange.
    ///
    /// @param ran `no` if it is certain that nothing ran; the key may then be started again
    void finish(const key& claimed, ran_state ran, time_point now);

    /// Fences a key that has not been started, so that it cannot start later.
    ///
    /// @return whether the key ran: `no`, which is final, `yes`, or `unknown` while it is running
    ///         and if the result of its run is not known
    ran_state fence(const key& claimed, log_offset token, time_point now);

    /// Removes the keys that have not changed during the retention time, except running ones.
    void expire(time_point now);

    std::size_t size() const { return entries_.size(); }

private:
    enum class phase { running, has_run, unknown, fenced };
    struct entry {
        phase current_phase = phase::running;
        log_offset token;
        time_point changed_at{};
    };

    void set_phase(const key& claimed, phase new_phase, log_offset token, time_point now);

    options options_;
    std::map<key, entry> entries_;
    // Changes in order of time; an entry expires with its latest one.
    std::deque<std::pair<time_point, key>> changes_;
};

}  // namespace baobabrack

#endif
