#include "baobabrack/placement/promise_check.hpp"

#include <string>

#include "baobabrack/placement/reclaim_plan.hpp"
#include "baobabrack/world/topology.hpp"

namespace baobabrack {

namespace {

std::string name_shortfalls(const std::vector<shortfall>& missing) {
    std::string text;
    for (const auto& one : missing) {
        text += text.empty() ? "" : "; ";
        text += one.workspace.get() + " is short of " + std::to_string(one.missing) + " x " +
                describe(one.query);
    }
    return text;
}

}  // namespace

result<void> check_promises(const std::vector<promised_workspace>& promised, const fleet& workers) {
    topology places;
    reclaim_plan trial(places);
    for (const auto& [id, one] : workers.workers()) {
        trial.set_capacity(places.add(one), one.capacity);
    }
    for (const auto& one : promised) {
        trial.set_promises(one.workspace, one.guarantees);
    }
    if (trial.settle()) {
        return BOOST_OUTCOME_V2_NAMESPACE::success();
    }
    return failure{failure_kind::exhausted,
                   "guarantees exceed the workers: " + name_shortfalls(trial.shortfalls()),
                   "lower the count, use a wider adjacency, or add workers first"};
}

}  // namespace baobabrack
