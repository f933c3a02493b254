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

/// Which claimed keys have run at one target, are running, or must not run any more.
///
/// The table lives as long as its guard's incarnation. What it does not know was never started
/// by this incarnation.
class fence_table {
public:
    struct options {
        /// How long a key is remembered after its last change.
        duration retention = std::chrono::minutes{30};
    };

    struct key {
        workspace_id workspace;
        idempotency_key name;

        friend auto operator<=>(const key&, const key&) = default;
    };

    /// What `admit` says to a request.
    enum class admission { admitted, running, has_run, fenced };

    explicit fence_table(options opts) : options_(opts) {}

    /// Starts a key's one run unless it was started or fenced before.
    admission admit(const key& claimed, log_offset token, time_point now);

    /// A started key's exchange has ended.
    ///
    /// @param ran `no` if it is proved that nothing ran; the key may then be started again
    void finish(const key& claimed, ran_state ran, time_point now);

    /// Fences a key that has not started.
    ///
    /// @return whether it ran: `no` from now on for good, `yes`, or `unknown` while it is running
    ran_state fence(const key& claimed, log_offset token, time_point now);

    /// Forgets keys that have not changed for the memory span.
    void expire(time_point now);

    std::size_t size() const { return entries_.size(); }

private:
    enum class phase { running, has_run, unknown, fenced };
    struct entry {
        phase current_phase = phase::running;
        log_offset token;
        time_point changed_at{};
    };

    void set_phase(const key& claimed, phase current_phase, log_offset token, time_point now);

    options options_;
    std::map<key, entry> entries_;
    // Changes in order of time; a row counts by its newest one.
    std::deque<std::pair<time_point, key>> changes_;
};

}  // namespace baobabrack

#endif
