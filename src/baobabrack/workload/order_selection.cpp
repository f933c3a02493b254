#include "baobabrack/workload/order_selection.hpp"

#include <algorithm>
#include <cstdint>
#include <map>
#include <utility>

namespace baobabrack::workload {

namespace {

// Numbers, tags and lengths of an encoded order.
constexpr std::size_t encoded_order_bytes = 64;

std::size_t name_bytes(const task_name& task) {
    return encoded_order_bytes + task.step.job.get().size();
}

/// Keeps the first entries that fit.
///
/// @param remaining how many bytes are left; reduced by what is kept
/// @return whether all entries fit
template <typename Order>
bool keep_fitting(std::vector<Order>& orders, std::size_t& remaining) {
    for (auto order = orders.begin(); order != orders.end(); ++order) {
        const auto bytes = max_encoded_bytes(*order);
        if (bytes > remaining) {
            orders.erase(order, orders.end());
            return false;
        }
        remaining -= bytes;
    }
    return true;
}

/// Orders entries by how many entries with the same owner precede them.
template <typename OwnerOf>
void rotate_owners(std::vector<start_candidate>& candidates, OwnerOf owner_of) {
    struct turn {
        std::size_t number = 0;
        start_candidate candidate;
    };
    std::map<std::decay_t<decltype(owner_of(candidates.front()))>, std::size_t> counts;
    std::vector<turn> turns;
    turns.reserve(candidates.size());
    for (auto& candidate : candidates) {
        const auto number = counts[owner_of(candidate)]++;
        turns.push_back({.number = number, .candidate = std::move(candidate)});
    }
    std::stable_sort(turns.begin(), turns.end(), [](const turn& left, const turn& right) {
        return left.number < right.number;
    });
    std::transform(turns.begin(), turns.end(), candidates.begin(),
                   [](turn& sorted) { return std::move(sorted.candidate); });
}

start_order make_start(const start_candidate& candidate) {
    return {.task = candidate.name,
            .run = candidate.task->run,
            .payload = candidate.job->payload,
            .checkpoint = candidate.task->checkpoint,
            .needs = candidate.step->per_task,
            .confirm_worker = candidate.task->crashes != crash_record{}};
}

}  // namespace

std::size_t max_encoded_bytes(const start_candidate& start) {
    return name_bytes(start.name) + start.job->payload.size() + start.task->checkpoint.size();
}

std::size_t max_encoded_bytes(const stop_order& stop) {
    return name_bytes(stop.task);
}

std::size_t max_encoded_bytes(const run_needs& needs) {
    return name_bytes(needs.task);
}

std::vector<start_candidate> take_turns(std::vector<start_candidate> candidates) {
    rotate_owners(candidates, [](const start_candidate& start) { return start.job; });
    rotate_owners(candidates, [](const start_candidate& start) { return start.job->workspace; });
    return candidates;
}

void select_orders(worker_orders& orders, std::vector<start_candidate> candidates,
                   std::size_t pending_starts, const order_limits& limits) {
    auto remaining = limits.max_bytes;
    if (!keep_fitting(orders.needs, remaining) || !keep_fitting(orders.stops, remaining)) {
        return;
    }
    auto start_bytes = std::min(remaining, limits.max_start_bytes);
    for (const auto& candidate : take_turns(std::move(candidates))) {
        const auto bytes = max_encoded_bytes(candidate);
        if (pending_starts >= limits.max_pending_starts || bytes > start_bytes) {
            return;
        }
        ++pending_starts;
        start_bytes -= bytes;
        orders.starts.push_back(make_start(candidate));
    }
}

}  // namespace baobabrack::workload
