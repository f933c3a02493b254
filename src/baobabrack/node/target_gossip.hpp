#ifndef BAOBABRACK_NODE_TARGET_GOSSIP_HPP
#define BAOBABRACK_NODE_TARGET_GOSSIP_HPP

#include <map>

#include "baobabrack/platform.pb.h"
#include "baobabrack/units/ids.hpp"

namespace baobabrack {

/// Announcements that this entry heard directly and has not passed on yet. Only the newest one
/// of a target travels.
class target_gossip {
public:
    void add(const wire::TargetAnnouncement& announcement) {
        pending_[target_id{announcement.target()}] = announcement;
    }

    /// Moves the news into a heartbeat.
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
