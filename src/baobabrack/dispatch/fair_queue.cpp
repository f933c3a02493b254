#include "baobabrack/dispatch/fair_queue.hpp"

#include <algorithm>
#include <iterator>
#include <limits>
#include <tuple>

namespace baobabrack {

void fair_queue::push(const item& added) {
    insert(added, ++last_order_);
}

void fair_queue::put_back(const item& popped) {
    insert(popped, --first_order_);
    auto& flow = flows_[popped.workspace];
    flow.used -= popped.cost / flow.weight;
}

void fair_queue::insert(const item& added, std::int64_t order) {
    auto& flow = flows_[added.workspace];
    flow.weight = std::max<std::uint32_t>(added.weight, 1);
    if (flow.lines.empty()) {
        flow.used = std::max(flow.used, level_);
    }
    flow.lines[added.priority].emplace(order, added);
    places_[added.request] = {added.workspace, added.priority, order};
    ++sizes_[added.priority];
}

fair_queue::item fair_queue::take(place at) {
    auto& flow = flows_[at.workspace];
    auto& line = flow.lines[at.priority];
    auto node = line.extract(at.order);
    if (line.empty()) {
        flow.lines.erase(at.priority);
    }
    places_.erase(node.mapped().request);
    --sizes_[at.priority];
    return std::move(node.mapped());
}

double fair_queue::least_used() const {
    auto least = std::numeric_limits<double>::max();
    for (const auto& [workspace, flow] : flows_) {
        if (!flow.lines.empty()) {
            least = std::min(least, flow.used);
        }
    }
    return least;
}

std::optional<fair_queue::item> fair_queue::pop() {
    const auto least = least_used();
    const workspace_flow* best = nullptr;
    std::tuple<bool, std::uint32_t, double> best_rank;
    for (const auto& [workspace, flow] : flows_) {
        if (flow.lines.empty()) {
            continue;
        }
        const bool ahead = flow.used - least > options_.allowance / flow.weight;
        const std::tuple rank{ahead, flow.lines.begin()->first, flow.used};
        if (best == nullptr || rank < best_rank) {
            best = &flow;
            best_rank = rank;
        }
    }
    if (best == nullptr) {
        return std::nullopt;
    }
    const auto& next = best->lines.begin()->second.begin()->second;
    auto taken = take(places_.at(next.request));
    auto& served = flows_[taken.workspace];
    level_ = std::max(level_, least);
    served.used += taken.cost / served.weight;
    return taken;
}

void fair_queue::remove(request_number request) {
    const auto found = places_.find(request);
    if (found != places_.end()) {
        const auto at = found->second;
        take(at);
    }
}

std::optional<fair_queue::item> fair_queue::first_to_shed(
    std::optional<std::uint32_t> priority) const {
    const waiting_line* longest = nullptr;
    std::tuple<std::uint32_t, double> longest_rank;
    for (const auto& [workspace, flow] : flows_) {
        const auto at = priority
                            ? flow.lines.find(*priority)
                            : (flow.lines.empty() ? flow.lines.end() : std::prev(flow.lines.end()));
        if (at == flow.lines.end()) {
            continue;
        }
        const std::tuple rank{at->first, static_cast<double>(at->second.size()) / flow.weight};
        if (longest == nullptr || rank > longest_rank) {
            longest = &at->second;
            longest_rank = rank;
        }
    }
    if (longest == nullptr) {
        return std::nullopt;
    }
    return longest->rbegin()->second;
}

std::size_t fair_queue::size_of(std::uint32_t priority) const {
    const auto found = sizes_.find(priority);
    return found == sizes_.end() ? 0 : found->second;
}

}  // namespace baobabrack
