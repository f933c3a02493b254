#ifndef BAOBABRACK_MEMBERSHIP_TARGET_REGISTRY_HPP
#define BAOBABRACK_MEMBERSHIP_TARGET_REGISTRY_HPP

#include <cstdint>
#include <map>
#include <vector>

#include "baobabrack/platform.pb.h"
#include "baobabrack/units/ids.hpp"
#include "baobabrack/units/time.hpp"

namespace baobabrack {

/// A target as its newest announcement has it.
struct known_target {
    wire::TargetAnnouncement facts;
    time_point first_heard{};
    time_point last_heard{};
};

/// Targets that have announced themselves, directly or through another entry.
class target_registry {
public:
    struct options {
        /// A target that has not been heard of for this long gets no new work.
        duration silence_limit = std::chrono::seconds{6};
        /// A silent target is forgotten after this long, its leaving with it.
        duration retention = std::chrono::minutes{10};
    };

    explicit target_registry(options opts) : options_(opts) {}

    /// Takes an announcement in. An older incarnation or sequence is ignored; leaving is sticky
    /// for an incarnation.
    ///
    /// @return whether it was news
    bool handle_announcement(const wire::TargetAnnouncement& announcement, time_point now);

    /// Forgets targets that have been silent for the memory span.
    void expire(time_point now);

    const known_target* find(const target_id& id) const;

    /// @return whether new work may go to the target
    bool accepts_work(const known_target& target, time_point now) const;

    /// @return a number that grows when a target comes, goes, restarts or leaves
    std::uint64_t change_count() const { return changes_; }

    const std::map<target_id, known_target>& targets() const { return targets_; }

private:
    options options_;
    std::uint64_t changes_ = 0;
    std::map<target_id, known_target> targets_;
};

}  // namespace baobabrack

#endif
