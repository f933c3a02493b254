#ifndef BAOBABRACK_MEMBERSHIP_TARGET_REGISTRY_HPP
#define BAOBABRACK_MEMBERSHIP_TARGET_REGISTRY_HPP

#include <cstdint>
#include <map>
#include <vector>

#include "baobabrack/platform.pb.h"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// A target according to its newest announcement.
struct known_target {
    wire::TargetAnnouncement facts;
    time_point first_heard{};
    time_point last_heard{};
};

/// Targets that have announced themselves, directly or via another entry.
class target_registry {
public:
    struct options {
        /// A target receives no new work after this long without an announcement.
        duration silence_limit = std::chrono::seconds{6};
        /// A target and its leaving flag are removed after this long without an announcement.
        duration retention = std::chrono::minutes{10};
    };

    explicit target_registry(options opts) : options_(opts) {}

    /// Records an announcement, unless its incarnation is older or its sequence is not newer. The
    /// leaving flag is sticky within an incarnation.
    ///
    /// @return whether the announcement was recorded
    bool handle_announcement(const wire::TargetAnnouncement& announcement, time_point now);

    /// Removes targets whose last announcement is older than the retention.
    void expire(time_point now);

    const known_target* find(const target_id& id) const;

    /// @return whether the target may receive new work
    bool accepts_work(const known_target& target, time_point now) const;

    /// @return a counter that increases when a target is added, removed, restarted or leaving
    std::uint64_t change_count() const { return change_count_; }

    const std::map<target_id, known_target>& targets() const { return targets_; }

private:
    options options_;
    std::uint64_t change_count_ = 0;
    std::map<target_id, known_target> targets_;
};

}  // namespace baobabrack

#endif
