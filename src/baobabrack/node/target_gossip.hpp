#ifndef BAOBABRACK_NODE_TARGET_GOSSIP_HPP
#define BAOBABRACK_NODE_TARGET_GOSSIP_HPP

#include <map>

#include "baobabrack/platform.pb.h"
#include "baobabrack/units/ids.hpp"

namespace baobabrack {

/// Holds the target announcements that this entry received directly and has not forwarded yet. Only
/// the newest announcement of each target is forwarded.
class target_gossip {
public:
    void add(const wire::TargetAnnouncement& announcement) {
        pending_[target_id{announcement.target()}] = announcement;
    }

    /// Moves the pending announcements into a heartbeat.
    template <typename Announcements>
    void move_to(Announcements& announcements) {
        for (auto& [id, announcement] : pending_) {
            *announcements.Add() = std::move(announcement);
        }
        pending_.clear();
    }

private:
    std::map<target_id, wire::TargetAnnouncement> pending_;
};

}  // namespace baobabrack

#endif
