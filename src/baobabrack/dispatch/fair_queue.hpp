#ifndef BAOBABRACK_DISPATCH_FAIR_QUEUE_HPP
#define BAOBABRACK_DISPATCH_FAIR_QUEUE_HPP

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <unordered_map>

#include "baobabrack/units/ids.hpp"

namespace baobabrack {

/// Names a request within one entry.
using request_number = std::uint64_t;

/// Requests of one service that wait for a slot.
///
/// Lower priority numbers go first, and among workspaces the one that had least for its weight. A
/// workspace that is ahead of its fair share by more than the allowance waits behind all that are
/// not, whatever its requests' priority, so that a burst cannot use up the others' share.
class fair_queue {
public:
    struct options {
        /// How far ahead of its share a workspace keeps its place, in mean requests per weight.
        double allowance = 16;
    };

    struct item {
        request_number request = 0;
        workspace_id workspace;
        std::uint32_t weight = 1;
        std::uint32_t priority = 0;
        /// What the request takes of its workspace's share; 1 is a mean request.
        double cost = 1;
    };

    explicit fair_queue(options opts) : options_(opts) {}

    /// Adds a request behind its workspace's others of the same priority.
    void push(const item& added);

    /// Takes the request that is to run next.
    std::optional<item> pop();

    /// Puts a request back to where `pop` took it from.
    void put_back(const item& popped);

    /// Drops a request; ignored if it does not wait.
    void remove(request_number request);

    /// @param priority where to look; none for the lowest there is
    /// @return the request to shed first: the newest of the workspace with the most for its weight
    std::optional<item> first_to_shed(std::optional<std::uint32_t> priority = {}) const;

    std::size_t size() const { return places_.size(); }
    bool empty() const { return places_.empty(); }

    /// @return how many of a priority wait
    std::size_t size_of(std::uint32_t priority) const;

private:
    using waiting_line = std::map<std::int64_t, item>;

    struct workspace_flow {
        double used = 0;
        double weight = 1;
        std::map<std::uint32_t, waiting_line> lines;
    };
    struct place {
        workspace_id workspace;
        std::uint32_t priority = 0;
        std::int64_t order = 0;
    };

    void insert(const item& added, std::int64_t order);
    item take(place at);
    double least_used() const;

    options options_;
    std::map<workspace_id, workspace_flow> flows_;
    std::unordered_map<request_number, place> places_;
    std::map<std::uint32_t, std::size_t> sizes_;
    std::int64_t last_order_ = 0;
    std::int64_t first_order_ = 0;
    // Share used by the workspace that was served last, where idle ones start again.
    double level_ = 0;
};

}  // namespace baobabrack

#endif
